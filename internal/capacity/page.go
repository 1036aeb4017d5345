package capacity

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Row is one figure of docs/CAPACITY.md.
type Row struct {
	Role string
	// Name of the figure, such as "memory for live permits".
	Name string
	// Slope is the name of the measured quantity.
	Slope string
	// Size is the number of units in the target fleet.
	Size float64
	// SizeNote describes how Size is derived.
	SizeNote string
	// Unit of the figure; a key of displayUnits.
	Unit string
	// Mechanism is the part of the design that the cost comes from.
	Mechanism string
}

// displayUnits maps the unit of a figure to its value in the base unit of the slope
// (B, ns or 1). "% core" is for a slope in ns and a size per second.
var displayUnits = map[string]float64{
	"B":      1,
	"KB":     1e3,
	"MB":     1e6,
	"GB":     1e9,
	"B/s":    1,
	"KB/s":   1e3,
	"MB/s":   1e6,
	"µs":     1e3,
	"ms":     1e6,
	"s":      1e9,
	"% core": 1e7,
	"1":      1,
	"/s":     1,
}

const (
	beginMarker = "<!-- figures:begin -->"
	endMarker   = "<!-- figures:end -->"
	// figureDigits is the number of significant digits in the page.
	figureDigits = 3
)

// Figure returns slope × size in the row's unit, formatted as in the page.
func (r Row) Figure(f Fit) (string, error) {
	div, ok := displayUnits[r.Unit]
	if !ok {
		return "", errors.Newf("row %q: unknown unit %q", r.Name, r.Unit)
	}
	return formatFigure(f.Slope * r.Size / div), nil
}

func formatFigure(v float64) string {
	s := strconv.FormatFloat(v, 'g', figureDigits, 64)
	if x, err := strconv.ParseFloat(s, 64); err == nil {
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	return s
}

// Tables renders the rows, grouped by role, and a table of all fits.
func Tables(rows []Row, fits map[string]Fit) (string, error) {
	var b strings.Builder
	role := ""
	for _, r := range rows {
		f, ok := fits[r.Slope]
		if !ok {
			return "", errors.Newf("row %q cites slope %s, which was not measured", r.Name, r.Slope)
		}
		fig, err := r.Figure(f)
		if err != nil {
			return "", err
		}
		if r.Role != role {
			role = r.Role
			fmt.Fprintf(&b, "\n### %s\n\n", role)
			b.WriteString("| what | slope | size | figure | unit | size is | mechanism |\n|---|---|---|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s | %s | %s |\n",
			r.Name, r.Slope, formatFloat(r.Size), fig, r.Unit, r.SizeNote, r.Mechanism)
	}
	b.WriteString("\n### Slopes\n\n| slope | one more costs | unit | at size zero | sizes measured | R² |\n|---|---|---|---|---|---|\n")
	for _, name := range sortedNames(fits) {
		f := fits[name]
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %.3f |\n",
			name, formatFigure(f.Slope), f.Unit, formatFigure(f.Base), formatSizes(f), f.R2)
	}
	return b.String(), nil
}

// Splice replaces the text between the markers of the page with the tables.
func Splice(page []byte, tables string) ([]byte, error) {
	begin := bytes.Index(page, []byte(beginMarker))
	end := bytes.Index(page, []byte(endMarker))
	if begin < 0 || end < begin {
		return nil, errors.Newf("page does not contain the markers %s and %s in this order", beginMarker, endMarker)
	}
	var out bytes.Buffer
	out.Write(page[:begin+len(beginMarker)])
	out.WriteString("\n" + tables + "\n")
	out.Write(page[end:])
	return out.Bytes(), nil
}

// Check compares each figure of the page that cites a slope with slope × size
// from the fits. It returns a message for each mismatch and the number of figures
// compared.
func Check(page string, fits map[string]Fit) (mismatches []string, compared int) {
	for i, line := range strings.Split(page, "\n") {
		cells := tableCells(line)
		if len(cells) < 5 || !strings.HasPrefix(cells[1], "`") {
			continue
		}
		compared++
		if msg := checkRow(cells, fits); msg != "" {
			mismatches = append(mismatches, fmt.Sprintf("line %d: %s", i+1, msg))
		}
	}
	return mismatches, compared
}

func checkRow(cells []string, fits map[string]Fit) string {
	name := strings.Trim(cells[1], "`")
	f, ok := fits[name]
	if !ok {
		return fmt.Sprintf("slope %s is not in the samples", name)
	}
	size, err := strconv.ParseFloat(cells[2], 64)
	if err != nil {
		return fmt.Sprintf("size %q is not a number", cells[2])
	}
	want, err := Row{Name: cells[0], Slope: name, Size: size, Unit: cells[4]}.Figure(f)
	if err != nil {
		return err.Error()
	}
	if cells[3] != want {
		return fmt.Sprintf("%s: figure %s %s, but slope × size is %s", cells[0], cells[3], cells[4], want)
	}
	return ""
}

func tableCells(line string) []string {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "|") {
		return nil
	}
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

func formatSizes(f Fit) string {
	var parts []string
	for _, s := range f.Samples {
		parts = append(parts, formatFloat(s.Size))
	}
	return strings.Join(parts, ", ")
}
