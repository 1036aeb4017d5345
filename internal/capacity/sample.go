package capacity

import (
	"encoding/csv"
	"io"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

// Sample is one measured value of a quantity at one size.
type Sample struct {
	// Slope names the quantity, such as "grantor.bytes_per_permit".
	Slope string
	// Size is the number of units, such as permits.
	Size float64
	// Value is the total cost at that size, in Unit.
	Value float64
	// Unit is "B", "ns" or "1" (a count).
	Unit string
}

// Fit is the linear regression Value = Base + Slope × Size over the samples of one
// quantity.
type Fit struct {
	Name string
	Unit string
	// Slope is the cost of one more unit of size.
	Slope float64
	// Base is the cost at size zero.
	Base float64
	// R2 is the coefficient of determination; it is 1 for a perfect fit.
	R2 float64
	// Samples are ordered by size.
	Samples []Sample
}

// minSizes is the minimum number of different sizes for a fit.
const minSizes = 3

var csvHeader = []string{"slope", "size", "value", "unit"}

// WriteCSV writes the samples with a header line.
func WriteCSV(w io.Writer, samples []Sample) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(csvHeader); err != nil {
		return errors.Wrap(err, "write header")
	}
	for _, s := range samples {
		rec := []string{s.Slope, formatFloat(s.Size), formatFloat(s.Value), s.Unit}
		if err := cw.Write(rec); err != nil {
			return errors.Wrapf(err, "write sample of %s", s.Slope)
		}
	}
	cw.Flush()
	return cw.Error()
}

// ReadCSV reads samples in the format of WriteCSV.
func ReadCSV(r io.Reader) ([]Sample, error) {
	recs, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read samples")
	}
	var out []Sample
	for i, rec := range recs {
		if i == 0 {
			continue
		}
		size, err := strconv.ParseFloat(rec[1], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d: size", i+1)
		}
		value, err := strconv.ParseFloat(rec[2], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d: value", i+1)
		}
		out = append(out, Sample{Slope: rec[0], Size: size, Value: value, Unit: rec[3]})
	}
	return out, nil
}

// Fits returns the fit of each quantity, by name. It fails if a quantity was
// measured at fewer than three sizes.
func Fits(samples []Sample) (map[string]Fit, error) {
	byName := map[string][]Sample{}
	for _, s := range samples {
		byName[s.Slope] = append(byName[s.Slope], s)
	}
	fits := make(map[string]Fit, len(byName))
	for name, ss := range byName {
		f, err := fitLine(name, ss)
		if err != nil {
			return nil, err
		}
		fits[name] = f
	}
	return fits, nil
}

func fitLine(name string, ss []Sample) (Fit, error) {
	sort.SliceStable(ss, func(i, j int) bool { return ss[i].Size < ss[j].Size })
	xs := make([]float64, len(ss))
	ys := make([]float64, len(ss))
	sizes := map[float64]bool{}
	for i, s := range ss {
		xs[i], ys[i] = s.Size, s.Value
		sizes[s.Size] = true
	}
	if len(sizes) < minSizes {
		return Fit{}, errors.Newf("quantity %s was measured at %d sizes, a fit needs at least %d", name, len(sizes), minSizes)
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, base, slope)
	return Fit{Name: name, Unit: ss[0].Unit, Slope: slope, Base: base, R2: r2, Samples: ss}, nil
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', 8, 64) }
