package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

func linearSamples(name string, slope, base float64) []Sample {
	var out []Sample
	for _, x := range []float64{10, 100, 1000} {
		out = append(out, Sample{Slope: name, Size: x, Value: base + slope*x, Unit: "B"})
	}
	return out
}

func TestFitFindsSlopeAndBase(t *testing.T) {
	fits, err := Fits(linearSamples("a.b", 48, 1000))
	if err != nil {
		t.Fatal(err)
	}
	f := fits["a.b"]
	if math.Abs(f.Slope-48) > 1e-6 || math.Abs(f.Base-1000) > 1e-3 || f.R2 < 0.9999 {
		t.Errorf("fit = %+v", f)
	}
}

func TestFitNeedsThreeSizes(t *testing.T) {
	if _, err := Fits(linearSamples("a.b", 1, 0)[:2]); err == nil {
		t.Error("Fits accepted samples at only two sizes")
	}
}

func TestCSVRoundTrip(t *testing.T) {
	want := linearSamples("a.b", 48, 1000)
	var b bytes.Buffer
	if err := WriteCSV(&b, want); err != nil {
		t.Fatal(err)
	}
	got, err := ReadCSV(&b)
	if err != nil {
		t.Fatal(err)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("sample %d = %+v, want %+v", i, got[i], want[i])
		}
	}
}

func TestCheckFindsStaleFigure(t *testing.T) {
	fits, err := Fits(linearSamples("a.b", 48, 0))
	if err != nil {
		t.Fatal(err)
	}
	rows := []Row{{Role: "router", Name: "memory", Slope: "a.b", Size: 11000, Unit: "KB", Mechanism: "m"}}
	tables, err := Tables(rows, fits)
	if err != nil {
		t.Fatal(err)
	}
	page, err := Splice([]byte("x\n"+beginMarker+endMarker+"\n"), tables)
	if err != nil {
		t.Fatal(err)
	}
	if mismatches, n := Check(string(page), fits); n != 1 || len(mismatches) != 0 {
		t.Errorf("fresh page: %d compared, mismatches %v", n, mismatches)
	}
	for _, stale := range []string{
		strings.Replace(string(page), "| 528 |", "| 527 |", 1),
		strings.Replace(string(page), "`a.b`", "`a.c`", 1),
		strings.Replace(string(page), "| KB |", "| MB |", 1),
	} {
		if mismatches, _ := Check(stale, fits); len(mismatches) != 1 {
			t.Errorf("stale page: mismatches %v, want 1", mismatches)
		}
	}
}
