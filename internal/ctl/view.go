package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// get prints declarations as JSON, or as YAML in the format that apply reads.
func (a *app) get() error {
	s, err := a.configAt(a.at)
	if err != nil {
		return err
	}
	keys := matchingKeys(s, a.target)
	if len(keys) == 0 && a.target != "" {
		return errkind.New(errkind.NotFound, "nothing matches %q", a.target)
	}
	text, err := s.YAML(keys)
	if err != nil {
		return err
	}
	if a.json {
		objs, err := s.Objects()
		if err != nil {
			return err
		}
		a.printJSON(a.stdout, objectViews(objs, keys))
		return nil
	}
	_, err = a.stdout.Write(text)
	return err
}

// objectView is the JSON output for one object.
type objectView struct {
	Kind string          `json:"kind"`
	Name string          `json:"name"`
	Body json.RawMessage `json:"body"`
}

func objectViews(objs []*controlpb.Object, keys []config.ObjectKey) []objectView {
	want := map[config.ObjectKey]bool{}
	for _, k := range keys {
		want[k] = true
	}
	out := []objectView{}
	for _, o := range objs {
		if want[config.ObjectKey{Kind: o.Kind, Name: o.Name}] {
			out = append(out, objectView{o.Kind, o.Name, o.Body})
		}
	}
	return out
}

// matchingKeys returns the keys that selector matches: all if it is empty, those of
// a kind, or one kind/name. The kind is case-insensitive.
func matchingKeys(s *config.Set, selector string) []config.ObjectKey {
	kind, name, named := strings.Cut(selector, "/")
	var keys []config.ObjectKey
	for _, k := range s.Keys() {
		if selector != "" && !strings.EqualFold(k.Kind, kind) {
			continue
		}
		if named && k.Name != name {
			continue
		}
		keys = append(keys, k)
	}
	return keys
}

// export writes the declarations to a folder, one file per kind.
func (a *app) export() error {
	s, err := a.configAt(a.at)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(a.path, 0o755); err != nil {
		return errkind.Wrap(err, errkind.Usage, "create the folder")
	}
	byKind := map[string][]config.ObjectKey{}
	for _, k := range s.Keys() {
		byKind[k.Kind] = append(byKind[k.Kind], k)
	}
	for kind, keys := range byKind {
		text, err := s.YAML(keys)
		if err != nil {
			return err
		}
		file := filepath.Join(a.path, strings.ToLower(kind)+".yaml")
		if err := os.WriteFile(file, text, 0o644); err != nil {
			return errkind.Wrap(err, errkind.Usage, "write declarations")
		}
	}
	a.printResult(map[string]any{"revision": s.Revision, "objects": s.Len()}, func(w io.Writer) {
		fmt.Fprintf(w, "%d objects of revision %s written to %s\n", s.Len(), formatRevision(s.Revision), a.path)
	})
	return nil
}

func (a *app) auditEntries() ([]*controlpb.AuditEntry, error) {
	req := &controlpb.HistoryRequest{Limit: uint32(max(0, a.limit))}
	if a.before != "" {
		rev, err := parseRevision(a.before)
		if err != nil {
			return nil, err
		}
		req.Before = rev.ToProto()
	}
	var res *controlpb.HistoryResponse
	err := a.client.call(a.ctx, func(ctx context.Context, c controlpb.DRPCControlClient) (err error) {
		res, err = c.History(ctx, req)
		return err
	})
	if err != nil {
		return nil, err
	}
	return res.Entries, nil
}

func (a *app) history() error {
	entries, err := a.auditEntries()
	if err != nil {
		return err
	}
	a.printResult(auditViews(entries), func(w io.Writer) {
		for _, e := range entries {
			fmt.Fprintf(w, "%s  %s  %s  %s  +%d -%d  %s\n", formatRevision(config.RevisionFromProto(e.Revision)), entryTime(e),
				orElse(e.Actor, "unidentified"), e.Action, len(e.Upserted), len(e.Deleted), e.Comment)
		}
	})
	return nil
}

func (a *app) audit() error {
	entries, err := a.auditEntries()
	if err != nil {
		return err
	}
	a.printResult(auditViews(entries), func(w io.Writer) {
		for _, e := range entries {
			printAudit(w, e)
		}
	})
	return nil
}

func printAudit(w io.Writer, e *controlpb.AuditEntry) {
	fmt.Fprintf(w, "revision %s from %s\n  at       %s\n  by       %s\n  action   %s\n  change   %s\n",
		formatRevision(config.RevisionFromProto(e.Revision)), formatRevision(config.RevisionFromProto(e.Base)), entryTime(e),
		orElse(e.Actor, "unidentified"), e.Action, e.ChangeId)
	if e.Comment != "" {
		fmt.Fprintf(w, "  comment  %s\n", e.Comment)
	}
	for _, k := range e.Upserted {
		fmt.Fprintf(w, "  set      %s/%s\n", k.Kind, k.Name)
	}
	for _, k := range e.Deleted {
		fmt.Fprintf(w, "  deleted  %s/%s\n", k.Kind, k.Name)
	}
}

func entryTime(e *controlpb.AuditEntry) string {
	return time.UnixMilli(e.UnixMs).UTC().Format(time.RFC3339)
}
