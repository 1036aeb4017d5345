package publication

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// maxDocumentBytes limits the size of a configuration document.
	maxDocumentBytes = 8 << 20
	// minWindowBytes is the smallest zstd window that is used.
	minWindowBytes = 64 << 10
	// dictionaryID marks compressed documents that need a base to be decompressed.
	dictionaryID = 1
)

// Compress compresses a configuration document for the log and the network. It uses
// base as the dictionary, so that content shared with base takes almost no space; base
// may be nil.
func Compress(document, base []byte) ([]byte, error) {
	// The window must span base and document, so that all of base can be referenced up
	// to the document's end.
	window := minWindowBytes
	for window < len(document)+len(base) {
		window *= 2
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "compress a configuration document")
	}
	return w.EncodeAll(document, nil), errors.Wrap(w.Close(), "compress a configuration document")
}

// Decompress returns a document that Compress compressed against the same base.
func Decompress(compressed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocumentBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "decompress a configuration document")
	}
	defer r.Close()
	document, err := r.DecodeAll(compressed, nil)
	return document, errors.Wrap(err, "decompress a configuration document")
}
