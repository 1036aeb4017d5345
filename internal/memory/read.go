package memory

import "io"

// initialBodyBytes is the buffer with which a body of unknown length is read.
const initialBodyBytes = 4 << 10

// ReadAll reads a body to its end. length is its length, or -1 if that is not known. reserve
// is called before the memory in use grows by n bytes, and release when it shrinks. After an error
// the caller releases what is left.
func ReadAll(body io.Reader, length int64, reserve func(n int64) error, release func(n int64)) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	size := int64(initialBodyBytes)
	if length > 0 {
		size = length + 1 // The last byte finds the end of the body.
	}
	if err := reserve(size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	for {
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
		if len(buf) < cap(buf) {
			continue
		}
		// Both buffers are in use while one is copied to the other.
		old := int64(cap(buf))
		if err := reserve(2 * old); err != nil {
			return nil, err
		}
		buf = append(make([]byte, 0, 2*old), buf...)
		release(old)
	}
}
