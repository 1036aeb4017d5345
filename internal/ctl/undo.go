package ctl

import (
	"strings"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// undo reverts one change by a new revision. It is a conflict if a later change
// modified one of the same objects, since the revert would undo that change too.
func (a *app) undo() error {
	entry, err := a.auditEntryAt(a.at)
	if err != nil {
		return err
	}
	before, err := a.configBefore(entry)
	if err != nil {
		return err
	}
	after, err := a.configAt(formatRevision(config.RevisionFromProto(entry.Revision)))
	if err != nil {
		return err
	}
	base, err := a.newestConfig()
	if err != nil {
		return err
	}
	next, err := revert(base, before, after)
	if err != nil {
		return err
	}
	if a.comment == "" {
		a.comment = "undo of " + formatRevision(config.RevisionFromProto(entry.Revision))
	}
	req, err := a.changeRequest(base, next, "undo")
	if err != nil {
		return err
	}
	if req == nil {
		return a.reportUnchanged(base)
	}
	return a.submit(base, req)
}

// configBefore returns the configuration that a change is based on, which is
// empty for the first change.
func (a *app) configBefore(entry *controlpb.AuditEntry) (*config.Set, error) {
	base := config.RevisionFromProto(entry.Base)
	if base == (config.Revision{}) {
		return config.NewSet(base), nil
	}
	return a.configAt(formatRevision(base))
}

// auditEntryAt returns the audit entry of a revision; empty means the newest.
func (a *app) auditEntryAt(at string) (*controlpb.AuditEntry, error) {
	a.limit, a.before = 1, ""
	if at != "" {
		rev, err := parseRevision(at)
		if err != nil {
			return nil, err
		}
		a.before = formatRevision(config.Revision{Epoch: rev.Epoch, Number: rev.Number + 1})
	}
	entries, err := a.auditEntries()
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 || (at != "" && formatRevision(config.RevisionFromProto(entries[0].Revision)) != at) {
		return nil, errkind.New(errkind.NotFound, "no accepted change made revision %q", at)
	}
	return entries[0], nil
}

// revert returns base with the change from before to after reverted.
func revert(base, before, after *config.Set) (*config.Set, error) {
	restored, removed, err := config.Diff(after, before)
	if err != nil {
		return nil, err
	}
	laterUpserts, laterDeletes, err := config.Diff(after, base)
	if err != nil {
		return nil, err
	}
	changedLater := map[config.ObjectKey]bool{}
	for _, o := range laterUpserts {
		changedLater[config.ObjectKey{Kind: o.Kind, Name: o.Name}] = true
	}
	for _, k := range laterDeletes {
		changedLater[config.ObjectKey{Kind: k.Kind, Name: k.Name}] = true
	}
	var conflicts []string
	checkConflict := func(kind, name string) {
		if k := (config.ObjectKey{Kind: kind, Name: name}); changedLater[k] {
			conflicts = append(conflicts, k.String())
		}
	}
	for _, o := range restored {
		checkConflict(o.Kind, o.Name)
	}
	for _, k := range removed {
		checkConflict(k.Kind, k.Name)
	}
	if len(conflicts) > 0 {
		return nil, errkind.New(errkind.RevisionConflict, "later changes also modified %s; undo those first, or apply the declarations that you want", strings.Join(conflicts, ", "))
	}
	return base.Apply(base.Revision, restored, removed)
}
