package ctl

import (
	"strings"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// undo takes one change back by a new revision. Objects that a later change
// touched again are a conflict, since taking them back would undo that as well.
func (a *app) undo() error {
	entry, err := a.entryAt(a.at)
	if err != nil {
		return err
	}
	before, err := a.setBefore(entry)
	if err != nil {
		return err
	}
	after, err := a.setAt(revisionText(config.FromPB(entry.Revision)))
	if err != nil {
		return err
	}
	base, err := a.newest()
	if err != nil {
		return err
	}
	next, err := revert(base, before, after)
	if err != nil {
		return err
	}
	if a.comment == "" {
		a.comment = "undo of " + revisionText(config.FromPB(entry.Revision))
	}
	req, err := a.changeTo(base, next, "undo")
	if err != nil {
		return err
	}
	if req == nil {
		return a.unchanged(base)
	}
	return a.submit(base, req)
}

// setBefore returns the configuration that a change was made from, which is
// empty for the first one.
func (a *app) setBefore(entry *controlpb.AuditEntry) (*config.Set, error) {
	base := config.FromPB(entry.Base)
	if base == (config.Revision{}) {
		return config.NewSet(base), nil
	}
	return a.setAt(revisionText(base))
}

// entryAt returns the audit entry of a revision; empty means the newest.
func (a *app) entryAt(at string) (*controlpb.AuditEntry, error) {
	a.limit, a.before = 1, ""
	if at != "" {
		rev, err := parseRevision(at)
		if err != nil {
			return nil, err
		}
		a.before = revisionText(config.Revision{Epoch: rev.Epoch, Number: rev.Number + 1})
	}
	entries, err := a.entries()
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 || (at != "" && revisionText(config.FromPB(entries[0].Revision)) != at) {
		return nil, errkind.New(errkind.NotFound, "no accepted change made revision %q", at)
	}
	return entries[0], nil
}

// revert returns base with the step from before to after taken back.
func revert(base, before, after *config.Set) (*config.Set, error) {
	back, gone, err := config.Diff(after, before)
	if err != nil {
		return nil, err
	}
	later, dropped, err := config.Diff(after, base)
	if err != nil {
		return nil, err
	}
	touched := map[config.Key]bool{}
	for _, o := range later {
		touched[config.Key{Kind: o.Kind, Name: o.Name}] = true
	}
	for _, k := range dropped {
		touched[config.Key{Kind: k.Kind, Name: k.Name}] = true
	}
	var clash []string
	note := func(kind, name string) {
		if k := (config.Key{Kind: kind, Name: name}); touched[k] {
			clash = append(clash, k.String())
		}
	}
	for _, o := range back {
		note(o.Kind, o.Name)
	}
	for _, k := range gone {
		note(k.Kind, k.Name)
	}
	if len(clash) > 0 {
		return nil, errkind.New(errkind.RevisionConflict, "later changes touched %s too; undo those first, or apply the declarations that you want", strings.Join(clash, ", "))
	}
	return base.Apply(base.Revision, back, gone)
}
