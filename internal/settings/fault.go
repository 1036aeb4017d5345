package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Fault is one error in a YAML file.
type Fault struct {
	// File is the path of the file; empty if the input is not a file.
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Object is the declared object as kind/name; empty for settings.
	Object string `json:"object,omitempty"`
	// Field is the path of the field, as in routes[0].path.
	Field string `json:"field,omitempty"`
	// Message says what is wrong and how to correct it.
	Message string `json:"message"`
}

// String returns the fault on one line, as in "a.yaml:3: Service/x: policy: ...".
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	} else if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Object != "" {
		b.WriteString(f.Object + ": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Faults is a list of faults that implements error.
type Faults []Fault

// Error returns the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

var linePrefix = regexp.MustCompile(`^(?:yaml: )?line (\d+): `)

// SyntaxFault converts an error of the YAML parser to a fault.
func SyntaxFault(err error) Fault {
	return parseFault(err.Error())
}

// parseFault converts a message of the YAML library to a fault and extracts its
// line number.
func parseFault(msg string) Fault {
	m := linePrefix.FindStringSubmatch(msg)
	if m == nil {
		return Fault{Line: 1, Message: strings.TrimPrefix(msg, "yaml: ")}
	}
	line, err := strconv.Atoi(m[1])
	if err != nil {
		line = 1
	}
	return Fault{Line: line, Message: translateTypeError(strings.TrimPrefix(msg, m[0]))}
}

var typeMismatch = regexp.MustCompile("^cannot unmarshal !!(\\w+) (?:`(.*)` )?into (.+)$")

// translateTypeError replaces the Go types in the YAML library's message about a
// type mismatch by terms of the file format.
func translateTypeError(msg string) string {
	m := typeMismatch.FindStringSubmatch(msg)
	if m == nil {
		return msg
	}
	got := "a " + yamlTypeName(m[1])
	if m[2] != "" {
		got = strconv.Quote(m[2])
	}
	return got + " is not " + goTypeName(m[3])
}

func yamlTypeName(tag string) string {
	switch tag {
	case "map":
		return "mapping"
	case "seq":
		return "list"
	}
	return tag
}

func goTypeName(t string) string {
	switch {
	case strings.HasPrefix(t, "[]"):
		return "a list"
	case strings.HasPrefix(t, "int"):
		return "a whole number in range"
	case strings.HasPrefix(t, "uint"):
		return "a whole number of 0 or more in range"
	case strings.HasPrefix(t, "float"):
		return "a number"
	case t == "bool":
		return "true or false"
	case t == "string":
		return "a text"
	case strings.Contains(t, "Duration"):
		return "a duration such as 10s"
	}
	return "a mapping of fields"
}
