package publication

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// maxDocumentBytes bounds a configuration document.
	maxDocumentBytes = 8 << 20
	// minWindowBytes is the least window of the packed format.
	minWindowBytes = 64 << 10
	// baseID marks packed documents that need a base.
	baseID = 1
)

// Pack packs a configuration document for the log and the network. What it has
// in common with base takes next to no space; base may be nil.
func Pack(document, base []byte) ([]byte, error) {
	// Each part of the base must stay within reach up to the document's end.
	window := minWindowBytes
	for window < len(document)+len(base) {
		window *= 2
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "pack a configuration")
	}
	return w.EncodeAll(document, nil), errors.Wrap(w.Close(), "pack a configuration")
}

// Unpack returns the document that Pack packed relative to the same base.
func Unpack(packed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocumentBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "unpack a configuration")
	}
	defer r.Close()
	document, err := r.DecodeAll(packed, nil)
	return document, errors.Wrap(err, "unpack a configuration")
}
