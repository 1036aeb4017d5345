package settings

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"
)

// Decode decodes a YAML node strictly into the struct that into points to and
// returns every fault, sorted by line. Fields that could be decoded are set even if
// others have faults.
func Decode(node *yaml.Node, into any) Faults {
	c := &checker{fieldByLine: map[int]string{}}
	c.walk(node, reflect.TypeOf(into), "")
	if len(c.fatalFaults) > 0 {
		return c.fatalFaults
	}
	err := node.Decode(into)
	var te *yaml.TypeError
	switch {
	case errors.As(err, &te):
		for _, msg := range te.Errors {
			f := parseFault(msg)
			f.Field = c.fieldByLine[f.Line]
			c.faults = append(c.faults, f)
		}
	case err != nil:
		c.faults = append(c.faults, SyntaxFault(err))
	}
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].Line < c.faults[j].Line })
	return c.faults
}

// checker finds errors that the YAML library accepts: unknown fields, aliases, and
// durations without a unit. It also records which field is on which line.
type checker struct {
	faults Faults
	// fatalFaults are faults that make decoding unsafe; if there are any, the node
	// is not decoded.
	fatalFaults Faults
	fieldByLine map[int]string
}

var (
	durationType    = reflect.TypeOf(time.Duration(0))
	unmarshalerType = reflect.TypeOf((*yaml.Unmarshaler)(nil)).Elem()
)

func (c *checker) walk(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		c.fatalFaults = append(c.fatalFaults, Fault{Line: n.Line, Field: path, Message: "anchors and aliases are not supported; write the value out"})
		return
	}
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch n.Kind {
	case yaml.DocumentNode:
		for _, child := range n.Content {
			c.walk(child, t, path)
		}
	case yaml.MappingNode:
		c.walkMapping(n, t, path)
	case yaml.SequenceNode:
		for i, child := range n.Content {
			c.walk(child, elemOf(t, reflect.Slice), fmt.Sprintf("%s[%d]", path, i))
		}
	case yaml.ScalarNode:
		c.fieldByLine[n.Line] = path
		if t == durationType && n.Tag == "!!int" {
			c.faults = append(c.faults, Fault{Line: n.Line, Field: path, Message: fmt.Sprintf("%q has no unit; write a duration such as 10s", n.Value)})
		}
	}
}

func (c *checker) walkMapping(n *yaml.Node, t reflect.Type, path string) {
	known := fieldsOf(t)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		name := key.Value
		full := joinPath(path, name)
		if _, ok := c.fieldByLine[value.Line]; !ok {
			c.fieldByLine[value.Line] = full
		}
		if key.Kind == yaml.AliasNode || key.Tag == "!!merge" || key.Anchor != "" {
			c.fatalFaults = append(c.fatalFaults, Fault{Line: key.Line, Field: path, Message: "merge keys and anchors are not supported; write the fields out"})
			continue
		}
		if known == nil {
			c.walk(value, elemOf(t, reflect.Map), full)
			continue
		}
		ft, ok := known[name]
		if !ok {
			c.faults = append(c.faults, Fault{Line: key.Line, Field: full, Message: "unknown field; " + suggestion(name, known)})
		}
		c.walk(value, ft, full)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func elemOf(t reflect.Type, k reflect.Kind) reflect.Type {
	if t != nil && t.Kind() == k {
		return t.Elem()
	}
	return nil
}

// fieldsOf returns the YAML fields of a struct type, or nil if t is not a struct or
// decodes itself.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	if t == nil || t.Kind() != reflect.Struct || reflect.PointerTo(t).Implements(unmarshalerType) {
		return nil
	}
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() {
			continue
		}
		name, opts, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "-" {
			continue
		}
		if strings.Contains(opts, "inline") {
			for k, v := range fieldsOf(f.Type) {
				fields[k] = v
			}
			continue
		}
		if name == "" {
			name = strings.ToLower(f.Name)
		}
		fields[name] = f.Type
	}
	return fields
}

// suggestion returns a hint that names the most similar known field, or lists all
// known fields.
func suggestion(name string, known map[string]reflect.Type) string {
	names := make([]string, 0, len(known))
	for k := range known {
		if strings.EqualFold(k, name) {
			return fmt.Sprintf("did you mean %q?", k)
		}
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		if editDistanceAtMost2(k, name) {
			return fmt.Sprintf("did you mean %q?", k)
		}
	}
	return "the fields here are " + strings.Join(names, ", ")
}

// editDistanceAtMost2 reports whether a can be turned into b by inserting, removing
// or replacing at most two bytes. It returns false for names longer than 64 bytes.
func editDistanceAtMost2(a, b string) bool {
	if len(b) > 64 || len(a) > 64 {
		return false
	}
	prev := make([]int, len(b)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row := make([]int, len(b)+1)
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(prev[j]+1, row[j-1]+1, prev[j-1]+cost)
		}
		prev = row
	}
	return prev[len(b)] <= 2
}
