package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// validate checks a folder without any connection.
func (a *app) validate() error {
	s, err := config.LoadDir(a.path)
	if err != nil {
		return err
	}
	a.show(map[string]int{"objects": s.Len()}, func(w io.Writer) {
		fmt.Fprintf(w, "%d objects, no faults\n", s.Len())
	})
	return nil
}

// planned is what apply would change, in kqctl's JSON output.
type planned struct {
	Base    config.Revision `json:"base"`
	Changes []change        `json:"changes"`
}

func (a *app) plan() error {
	next, err := config.LoadDir(a.path)
	if err != nil {
		return err
	}
	base, err := a.newest()
	if err != nil {
		return err
	}
	if err := config.CheckChange(base, next); err != nil {
		return err
	}
	return a.showChanges(base, next)
}

func (a *app) showChanges(base, next *config.Set) error {
	changes, err := compare(base, next)
	if err != nil {
		return err
	}
	a.show(planned{base.Revision, changes}, func(w io.Writer) { printChanges(w, changes) })
	return nil
}

func (a *app) apply() error {
	next, err := config.LoadDir(a.path)
	if err != nil {
		return err
	}
	base, err := a.newest()
	if err != nil {
		return err
	}
	req, err := a.changeTo(base, next, "apply")
	if err != nil {
		return err
	}
	if req == nil {
		return a.unchanged(base)
	}
	if err := a.votersMayChange(base, next); err != nil {
		return err
	}
	return a.submit(base, req)
}

// votersMayChange refuses a change of lease voters while some node may still
// act on the change before it: two steps at once could elect two grantors.
func (a *app) votersMayChange(base, next *config.Set) error {
	changed := config.VotersChanged(base, next)
	if len(changed) == 0 || a.force {
		return nil
	}
	expected, err := a.expectedNodes(base)
	if err != nil {
		return err
	}
	nodes, err := a.inForce(base.Revision, expected)
	if err != nil {
		return err
	}
	if len(nodes.Missing) > 0 {
		return errkind.New(errkind.RevisionConflict,
			"lease voters of %s change, but revision %s is not in force at %s; wait until it is, or use --force if those nodes are gone for good",
			strings.Join(changed, ", "), revisionText(base.Revision), strings.Join(nodes.Missing, ", "))
	}
	return nil
}

// diff shows the changes between two revisions.
func (a *app) diff() error {
	from, err := a.setAt(a.at)
	if err != nil {
		return err
	}
	to, err := a.setAt(a.to)
	if err != nil {
		return err
	}
	return a.showChanges(from, to)
}
