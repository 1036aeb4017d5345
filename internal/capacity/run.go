package capacity

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Files that Regenerate writes, below the repository's root.
const (
	CSVFile  = "docs/measurements/capacity.csv"
	PlotFile = "docs/measurements/capacity.svg"
	PageFile = "docs/CAPACITY.md"
)

const fileMode = 0o644

// Regenerate measures all probes and writes the CSV, the plot and the page's
// tables below root. progress is called after each sample.
func Regenerate(root string, progress func(Sample)) error {
	samples, err := Measure(Probes(), progress)
	if err != nil {
		return err
	}
	var csv bytes.Buffer
	if err := WriteCSV(&csv, samples); err != nil {
		return err
	}
	// The page is made from the written figures, so that the check of the page
	// against the file compares like with like.
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
	page, err := renewPage(filepath.Join(root, PageFile), fits)
	if err != nil {
		return err
	}
	for name, data := range map[string][]byte{CSVFile: csv.Bytes(), PlotFile: svg.Bytes(), PageFile: page} {
		if err := os.WriteFile(filepath.Join(root, name), data, fileMode); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

func renewPage(path string, fits map[string]Fit) ([]byte, error) {
	page, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the page")
	}
	tables, err := Tables(Rows(), fits)
	if err != nil {
		return nil, err
	}
	return Splice(page, tables)
}
