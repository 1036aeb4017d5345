package publication

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// maxDocumentBytes bounds a configuration document.
const maxDocumentBytes = 8 << 20

// Compress packs a configuration document for the log and the network.
func Compress(document []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(document); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Uncompress returns the document that Compress packed.
func Uncompress(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	out, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err == nil && len(out) > maxDocumentBytes {
		err = errors.Newf("a configuration of over %d bytes", maxDocumentBytes)
	}
	return out, errors.CombineErrors(err, r.Close())
}
