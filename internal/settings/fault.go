package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Fault is one thing wrong in a YAML file.
type Fault struct {
	// File is the path of the file; empty if there is none.
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Object is the declared object as kind/name; empty in settings.
	Object string `json:"object,omitempty"`
	// Field is the path of the field, as in routes[0].path.
	Field string `json:"field,omitempty"`
	// Message says what is wrong and what to do.
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

// Faults is a list of faults that is an error.
type Faults []Fault

// Error returns the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

var linePrefix = regexp.MustCompile(`^(?:yaml: )?line (\d+): `)

// SyntaxFault turns an error of the YAML parser into a fault.
func SyntaxFault(err error) Fault {
	return faultOf(err.Error())
}

// faultOf splits the line number from a message of the YAML library.
func faultOf(msg string) Fault {
	m := linePrefix.FindStringSubmatch(msg)
	if m == nil {
		return Fault{Line: 1, Message: strings.TrimPrefix(msg, "yaml: ")}
	}
	line, err := strconv.Atoi(m[1])
	if err != nil {
		line = 1
	}
	return Fault{Line: line, Message: plain(strings.TrimPrefix(msg, m[0]))}
}

var typeMismatch = regexp.MustCompile("^cannot unmarshal !!(\\w+) (?:`(.*)` )?into (.+)$")

// plain rewrites the YAML library's message on types in words of the format.
func plain(msg string) string {
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
