package config

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// maxFileBytes bounds the size of one declaration file.
const maxFileBytes = 16 << 20

// origin is where an object was declared.
type origin struct {
	file string
	line int
	// fieldLines maps the path of a field to its line.
	fieldLines map[string]int
	// faultyFields holds the top-level fields that could not be decoded; their
	// values are not checked.
	faultyFields map[string]bool
	// undecoded is set if no field could be decoded.
	undecoded bool
}

// LoadDir reads the declarations from all *.yaml and *.yml files under the
// directory at path, or from the single file at path, and validates the set. The
// error has kind invalid-declarations and lists every fault; see FaultsOf.
func LoadDir(path string) (*Set, error) {
	files, err := listFiles(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidDeclarations, "read declarations")
	}
	l := &loader{set: NewSet(Revision{})}
	l.set.origins = map[ObjectKey]origin{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidDeclarations, "read declarations")
		}
		l.addFile(file, data)
	}
	if len(files) == 0 {
		l.addFault(path, 0, "", "the directory contains no *.yaml or *.yml files")
	}
	return l.finish()
}

// Parse reads the declarations from the content of one file, as LoadDir does.
func Parse(name string, data []byte) (*Set, error) {
	l := &loader{set: NewSet(Revision{})}
	l.set.origins = map[ObjectKey]origin{}
	l.addFile(name, data)
	return l.finish()
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := p != path && strings.HasPrefix(d.Name(), ".")
		if d.IsDir() && hidden {
			return filepath.SkipDir
		}
		ext := filepath.Ext(p)
		if !d.IsDir() && !hidden && (ext == ".yaml" || ext == ".yml") {
			files = append(files, p)
		}
		return nil
	})
	sort.Strings(files)
	return files, err
}

// loader collects objects and faults over all files.
type loader struct {
	set    *Set
	faults settings.Faults
}

func (l *loader) addFault(file string, line int, object, format string, args ...any) {
	l.faults = append(l.faults, settings.Fault{File: file, Line: line, Object: object, Message: fmt.Sprintf(format, args...)})
}

// finish validates the set as a whole and returns it if there are no faults.
func (l *loader) finish() (*Set, error) {
	if len(l.faults) == 0 && l.set.Len() == 0 {
		l.addFault("", 0, "", "nothing is declared; an empty set would delete every object")
	}
	l.faults = append(l.faults, l.set.check()...)
	if len(l.faults) == 0 {
		return l.set, nil
	}
	return nil, faultsError(l.faults)
}

func (l *loader) addFile(name string, data []byte) {
	if len(data) > maxFileBytes {
		l.addFault(name, 0, "", "the file is over %d bytes; split it", maxFileBytes)
		return
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			f := settings.SyntaxFault(err)
			f.File = name
			l.faults = append(l.faults, f)
			return
		}
		if len(doc.Content) == 1 && doc.Content[0].Tag != "!!null" {
			l.addDocument(name, doc.Content[0])
		}
	}
}

// addDocument adds the object of one YAML document.
func (l *loader) addDocument(file string, n *yaml.Node) {
	if n.Kind != yaml.MappingNode {
		l.addFault(file, n.Line, "", "a document must be a mapping that contains the field kind")
		return
	}
	kind, rest := splitKind(n)
	if kind == nil {
		l.addFault(file, n.Line, "", "the field kind is missing; give one of %s", strings.Join(kinds, ", "))
		return
	}
	o := newObject(kind.Value)
	if o == nil {
		l.addFault(file, kind.Line, "", "unknown kind %q; give one of %s", kind.Value, strings.Join(kinds, ", "))
		return
	}
	faults := settings.Decode(rest, o)
	k := ObjectKey{kind.Value, nameOf(rest)}
	for _, f := range faults {
		f.File, f.Object = file, k.String()
		l.faults = append(l.faults, f)
	}
	if k.Name == "" {
		l.addFault(file, n.Line, kind.Value, "the field name is missing")
		return
	}
	if first, ok := l.set.origins[k]; ok {
		l.addFault(file, n.Line, k.String(), "declared twice; first in %s:%d; remove or rename one", first.file, first.line)
		return
	}
	src := origin{file: file, line: n.Line, fieldLines: map[string]int{}, faultyFields: map[string]bool{}}
	for _, f := range faults {
		src.faultyFields[topField(f.Field)] = true
	}
	recordLines(rest, "", src.fieldLines)
	if o.key() != k {
		// No field could be decoded. The name alone keeps references to the object
		// valid.
		o = objectWithName(k)
		src.undecoded = true
	}
	l.set.origins[k] = src
	l.set.put(o)
}

// nameOf returns the value of the field name, or "" if it is not a scalar.
func nameOf(n *yaml.Node) string {
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == "name" && n.Content[i+1].Kind == yaml.ScalarNode {
			return n.Content[i+1].Value
		}
	}
	return ""
}

// splitKind returns the value of the field kind, and the mapping without that
// field.
func splitKind(n *yaml.Node) (kind, rest *yaml.Node) {
	c := *n
	c.Content = nil
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == "kind" && kind == nil {
			kind = n.Content[i+1]
			continue
		}
		c.Content = append(c.Content, n.Content[i], n.Content[i+1])
	}
	return kind, &c
}

// topField returns the top-level field of a field path.
func topField(path string) string {
	if i := strings.IndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return path
}

// recordLines records the line of each field under the field's path.
func recordLines(n *yaml.Node, path string, lines map[string]int) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			p := n.Content[i].Value
			if path != "" {
				p = path + "." + p
			}
			lines[p] = n.Content[i].Line
			recordLines(n.Content[i+1], p, lines)
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			p := fmt.Sprintf("%s[%d]", path, i)
			lines[p] = c.Line
			recordLines(c, p, lines)
		}
	}
}

// faultsError sorts the faults and returns them as an error of kind
// invalid-declarations.
func faultsError(fs settings.Faults) error {
	sort.SliceStable(fs, func(i, j int) bool {
		if fs[i].File != fs[j].File {
			return fs[i].File < fs[j].File
		}
		return fs[i].Line < fs[j].Line
	})
	word := "faults"
	if len(fs) == 1 {
		word = "fault"
	}
	return errkind.Wrap(fs, errkind.InvalidDeclarations, "%d %s", len(fs), word)
}

// FaultsOf returns the faults listed by an error of LoadDir or Check.
func FaultsOf(err error) settings.Faults {
	var fs settings.Faults
	if errors.As(err, &fs) {
		return fs
	}
	return nil
}
