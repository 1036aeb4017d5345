package routing

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint identifies the content of a request. It is cut off from a cryptographic hash,
// so that a client cannot make up a request with the fingerprint of another client's.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a sequence of fields.
func NewFingerprint(fields ...[]byte) Fingerprint {
	h := sha256.New()
	for _, f := range fields {
		// Write to a hash never returns an error.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(f))))
		_, _ = h.Write(f)
	}
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
