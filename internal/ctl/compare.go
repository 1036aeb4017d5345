package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// objectChange is the change of one object between two configurations.
type objectChange struct {
	// Action is add, change or delete.
	Action string       `json:"action"`
	Kind   string       `json:"kind"`
	Name   string       `json:"name"`
	Fields []fieldDelta `json:"fields,omitempty"`
}

// fieldDelta is the old and the new value of one field; empty if the field is
// unset.
type fieldDelta struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// listChanges returns the changes from a to b.
func listChanges(a, b *config.Set) ([]objectChange, error) {
	up, del, err := config.Diff(a, b)
	if err != nil {
		return nil, err
	}
	objs, err := a.Objects()
	if err != nil {
		return nil, err
	}
	old := map[config.ObjectKey]*controlpb.Object{}
	for _, o := range objs {
		old[config.ObjectKey{Kind: o.Kind, Name: o.Name}] = o
	}
	changes := []objectChange{}
	for _, o := range up {
		c := objectChange{Action: "add", Kind: o.Kind, Name: o.Name}
		if prev := old[config.ObjectKey{Kind: o.Kind, Name: o.Name}]; prev != nil {
			c.Action = "change"
			if c.Fields, err = fieldDeltas(prev.Body, o.Body); err != nil {
				return nil, err
			}
		}
		changes = append(changes, c)
	}
	for _, k := range del {
		changes = append(changes, objectChange{Action: "delete", Kind: k.Kind, Name: k.Name})
	}
	return changes, nil
}

// fieldDeltas compares the top-level fields of two canonical bodies.
func fieldDeltas(old, updated []byte) ([]fieldDelta, error) {
	var a, b map[string]json.RawMessage
	if err := json.Unmarshal(old, &a); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "compare objects")
	}
	if err := json.Unmarshal(updated, &b); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "compare objects")
	}
	var out []fieldDelta
	for f, v := range b {
		if string(a[f]) != string(v) {
			out = append(out, fieldDelta{f, a[f], v})
		}
	}
	for f, v := range a {
		if _, ok := b[f]; !ok {
			out = append(out, fieldDelta{Field: f, Old: v})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out, nil
}

func printChanges(w io.Writer, changes []objectChange) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no changes")
		return
	}
	sign := map[string]string{"add": "+", "change": "~", "delete": "-"}
	for _, c := range changes {
		fmt.Fprintf(w, "%s %s/%s\n", sign[c.Action], c.Kind, c.Name)
		for _, f := range c.Fields {
			fmt.Fprintf(w, "    %s: %s -> %s\n", f.Field, valueText(f.Old), valueText(f.New))
		}
	}
}

func valueText(v json.RawMessage) string {
	if len(v) == 0 {
		return "(default)"
	}
	return string(v)
}
