package capacity

import (
	"os"
	"path/filepath"
	"testing"
)

const root = "../.."

// TestPageMatchesMeasuredSlopes checks each figure of docs/CAPACITY.md against
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
	mismatches, compared := Check(string(page), fits)
	for _, f := range mismatches {
		t.Error(f)
	}
	if compared != len(Rows()) {
		t.Errorf("page has %d figures, want %d from Rows", compared, len(Rows()))
	}
}
