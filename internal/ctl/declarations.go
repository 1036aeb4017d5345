package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// validate checks the declarations in a folder, offline.
func (a *app) validate() error {
	s, err := config.LoadDir(a.path)
	if err != nil {
		return err
	}
	a.printResult(map[string]int{"objects": s.Len()}, func(w io.Writer) {
		fmt.Fprintf(w, "%d objects, no faults\n", s.Len())
	})
	return nil
}

// planResult is the JSON output for the changes that apply would make.
type planResult struct {
	Base    config.Revision `json:"base"`
	Changes []objectChange  `json:"changes"`
}

func (a *app) plan() error {
	next, err := config.LoadDir(a.path)
	if err != nil {
		return err
	}
	base, err := a.newestConfig()
	if err != nil {
		return err
	}
	if err := config.CheckChange(base, next); err != nil {
		return err
	}
	return a.showChanges(base, next)
}

func (a *app) showChanges(base, next *config.Set) error {
	changes, err := listChanges(base, next)
	if err != nil {
		return err
	}
	a.printResult(planResult{base.Revision, changes}, func(w io.Writer) { printChanges(w, changes) })
	return nil
}

func (a *app) apply() error {
	next, err := config.LoadDir(a.path)
	if err != nil {
		return err
	}
	base, err := a.newestConfig()
	if err != nil {
		return err
	}
	req, err := a.changeRequest(base, next, "apply")
	if err != nil {
		return err
	}
	if req == nil {
		return a.reportUnchanged(base)
	}
	if err := a.checkVoterChange(base, next); err != nil {
		return err
	}
	return a.submit(base, req)
}

// checkVoterChange refuses a change of lease voters while a node may not have the
// previous revision in force. The majorities of voter sets that are two changes
// apart need not overlap, so two grantors could be elected.
func (a *app) checkVoterChange(base, next *config.Set) error {
	changed := config.DataCentresWithVoterChanges(base, next)
	if len(changed) == 0 || a.force {
		return nil
	}
	expected, err := a.expectedNodes(base)
	if err != nil {
		return err
	}
	nodes, err := a.checkInForce(base.Revision, expected)
	if err != nil {
		return err
	}
	if len(nodes.Missing) > 0 {
		return errkind.New(errkind.RevisionConflict,
			"lease voters of %s change, but revision %s is not in force at %s; wait until it is, or use --force if those nodes have been removed permanently",
			strings.Join(changed, ", "), formatRevision(base.Revision), strings.Join(nodes.Missing, ", "))
	}
	return nil
}

// diff shows the changes between two revisions.
func (a *app) diff() error {
	from, err := a.configAt(a.at)
	if err != nil {
		return err
	}
	to, err := a.configAt(a.to)
	if err != nil {
		return err
	}
	return a.showChanges(from, to)
}
