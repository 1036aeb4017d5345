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
	// What the figure is, such as "memory for live permits".
	What string
	// Slope names the measured quantity.
	Slope string
	// Size is the target's number of units.
	Size float64
	// SizeNote says where Size comes from.
	SizeNote string
	// Unit of the figure: one of the keys of displayUnits.
	Unit string
	// Mechanism that carries the figure.
	Mechanism string
}

// displayUnits maps a figure's unit to how many of the slope's base units
// (B, ns or 1) it holds. "% core" reads a slope in ns with a size per second.
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
	beginMark = "<!-- figures:begin -->"
	endMark   = "<!-- figures:end -->"
	// figureDigits is the number of significant digits in the page.
	figureDigits = 3
)

// Figure returns slope × size in the row's unit, as printed in the page.
func (r Row) Figure(f Fit) (string, error) {
	div, ok := displayUnits[r.Unit]
	if !ok {
		return "", errors.Newf("row %q: unknown unit %q", r.What, r.Unit)
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

// Tables renders the rows grouped by role, and the fits they cite.
func Tables(rows []Row, fits map[string]Fit) (string, error) {
	var b strings.Builder
	role := ""
	for _, r := range rows {
		f, ok := fits[r.Slope]
		if !ok {
			return "", errors.Newf("row %q cites slope %s, which was not measured", r.What, r.Slope)
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
			r.What, r.Slope, formatFloat(r.Size), fig, r.Unit, r.SizeNote, r.Mechanism)
	}
	b.WriteString("\n### Slopes\n\n| slope | one more costs | unit | at size zero | sizes measured | R² |\n|---|---|---|---|---|---|\n")
	for _, name := range sortedNames(fits) {
		f := fits[name]
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %.3f |\n",
			name, formatFigure(f.Slope), f.Unit, formatFigure(f.Base), sizesOf(f), f.R2)
	}
	return b.String(), nil
}

// Splice puts the tables between the marks of the page.
func Splice(page []byte, tables string) ([]byte, error) {
	begin := bytes.Index(page, []byte(beginMark))
	end := bytes.Index(page, []byte(endMark))
	if begin < 0 || end < begin {
		return nil, errors.Newf("the page lacks the marks %s and %s in this order", beginMark, endMark)
	}
	var out bytes.Buffer
	out.Write(page[:begin+len(beginMark)])
	out.WriteString("\n" + tables + "\n")
	out.Write(page[end:])
	return out.Bytes(), nil
}

// Check compares every figure of the page that cites a slope with slope × size
// from the fits and returns one message per difference, and the number of
// figures compared.
func Check(page string, fits map[string]Fit) (faults []string, compared int) {
	for i, line := range strings.Split(page, "\n") {
		cells := tableCells(line)
		if len(cells) < 5 || !strings.HasPrefix(cells[1], "`") {
			continue
		}
		compared++
		if msg := checkRow(cells, fits); msg != "" {
			faults = append(faults, fmt.Sprintf("line %d: %s", i+1, msg))
		}
	}
	return faults, compared
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
	want, err := Row{What: cells[0], Slope: name, Size: size, Unit: cells[4]}.Figure(f)
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

func sizesOf(f Fit) string {
	var parts []string
	for _, s := range f.Samples {
		parts = append(parts, formatFloat(s.Size))
	}
	return strings.Join(parts, ", ")
}
