package capacity

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Files that Regenerate writes, relative to the root of the repository.
const (
	CSVFile  = "docs/measurements/capacity.csv"
	PlotFile = "docs/measurements/capacity.svg"
	PageFile = "docs/CAPACITY.md"
)

const fileMode = 0o644

// Regenerate runs all probes and writes the samples, the plot and the tables of
// the page below root. It calls progress after each sample.
func Regenerate(root string, progress func(Sample)) error {
	samples, err := Measure(Probes(), progress)
	if err != nil {
		return err
	}
	var csv bytes.Buffer
	if err := WriteCSV(&csv, samples); err != nil {
		return err
	}
	// The CSV file rounds the samples. The page is computed from the rounded values,
	// as the check of the page against the file does.
	if samples, err = ReadCSV(bytes.NewReader(csv.Bytes())); err != nil {
		return err
	}
	fits, err := Fits(samples)
	if err != nil {
		return err
	}
	var svg bytes.Buffer
	if err := WriteSVG(&svg, fits); err != nil {
		return err
	}
	page, err := updatePage(filepath.Join(root, PageFile), fits)
	if err != nil {
		return err
	}
	for name, data := range map[string][]byte{CSVFile: csv.Bytes(), PlotFile: svg.Bytes(), PageFile: page} {
		if err := os.WriteFile(filepath.Join(root, name), data, fileMode); err != nil {
			return errors.Wrap(err, "write capacity results")
		}
	}
	return nil
}

func updatePage(path string, fits map[string]Fit) ([]byte, error) {
	page, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the capacity page")
	}
	tables, err := Tables(Rows(), fits)
	if err != nil {
		return nil, err
	}
	return Splice(page, tables)
}
