package capacity

import (
	"io"
	"math"
	"sort"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotColumns = 3
	plotWidth   = 12 * vg.Centimeter
	plotHeight  = 7 * vg.Centimeter
)

// WriteSVG draws one small plot per quantity, with its samples and its fit.
func WriteSVG(w io.Writer, fits map[string]Fit) error {
	names := sortedNames(fits)
	rows := int(math.Ceil(float64(len(names)) / plotColumns))
	plots := make([][]*plot.Plot, rows)
	for r := range plots {
		plots[r] = make([]*plot.Plot, plotColumns)
		for c := range plots[r] {
			if i := r*plotColumns + c; i < len(names) {
				p, err := drawFit(fits[names[i]])
				if err != nil {
					return err
				}
				plots[r][c] = p
			}
		}
	}
	canvas := vgsvg.New(plotWidth*plotColumns, plotHeight*vg.Length(rows))
	tiles := draw.Tiles{Rows: rows, Cols: plotColumns, PadX: vg.Millimeter, PadY: vg.Millimeter}
	canvases := plot.Align(plots, tiles, draw.New(canvas))
	for r := range plots {
		for c := range plots[r] {
			if plots[r][c] != nil {
				plots[r][c].Draw(canvases[r][c])
			}
		}
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return nil
}

func drawFit(f Fit) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = f.Name
	p.Y.Label.Text = f.Unit
	pts := make(plotter.XYs, len(f.Samples))
	for i, s := range f.Samples {
		pts[i].X, pts[i].Y = s.Size, s.Value
	}
	scatter, err := plotter.NewScatter(pts)
	if err != nil {
		return nil, errors.Wrapf(err, "plot %s", f.Name)
	}
	line := plotter.NewFunction(func(x float64) float64 { return f.Base + f.Slope*x })
	line.XMin, line.XMax = pts[0].X, pts[len(pts)-1].X
	p.Add(scatter, line)
	return p, nil
}

func sortedNames(fits map[string]Fit) []string {
	names := make([]string, 0, len(fits))
	for n := range fits {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
