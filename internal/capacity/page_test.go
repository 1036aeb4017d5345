package capacity

import (
	"os"
	"path/filepath"
	"testing"
)

const root = "../.."

// TestPageMatchesMeasuredSlopes holds every figure of docs/CAPACITY.md to
// slope × size from the committed samples.
func TestPageMatchesMeasuredSlopes(t *testing.T) {
	f, err := os.Open(filepath.Join(root, CSVFile))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	samples, err := ReadCSV(f)
	if err != nil {
		t.Fatal(err)
	}
	fits, err := Fits(samples)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(root, PageFile))
	if err != nil {
		t.Fatal(err)
	}
	faults, compared := Check(string(page), fits)
	for _, f := range faults {
		t.Error(f)
	}
	if compared != len(Rows()) {
		t.Errorf("the page has %d figures, %d are declared", compared, len(Rows()))
	}
}
