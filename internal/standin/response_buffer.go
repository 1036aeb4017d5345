package standin

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// responseBuffer holds the response of one run. It grows while the run is active
// and is retained so that a stream can be resumed. It is safe for concurrent use.
type responseBuffer struct {
	mu       sync.Mutex
	data     []byte
	done     bool
	complete bool
	changed  chan struct{}
	cancel   context.CancelFunc
}

func newResponseBuffer(cancel context.CancelFunc) *responseBuffer {
	return &responseBuffer{changed: make(chan struct{}), cancel: cancel}
}

func (b *responseBuffer) append(p []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, p...)
	b.notifyReaders()
}

// finish marks the response as ended; ok is false if the run did not complete.
func (b *responseBuffer) finish(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done, b.complete = true, ok
	b.notifyReaders()
}

func (b *responseBuffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// readFrom returns the bytes from offset on, whether the run has ended, whether the
// response is complete, and a channel that is closed at the next change.
func (b *responseBuffer) readFrom(offset int) (p []byte, done, ok bool, change <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < len(b.data) {
		p = b.data[offset:len(b.data):len(b.data)]
	}
	return p, b.done, b.complete, b.changed
}

// wait blocks until the run has ended and returns the response.
func (b *responseBuffer) wait(ctx context.Context) (p []byte, ok bool, err error) {
	for {
		p, done, ok, change := b.readFrom(0)
		if done {
			return p, ok, nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// copyTo writes the bytes from offset on as they are appended, and stops at the
// position limit if it is not negative. It reports whether the response is complete
// and was written to its end.
func (b *responseBuffer) copyTo(ctx context.Context, w io.Writer, offset, limit int) bool {
	flusher, _ := w.(http.Flusher)
	for {
		p, done, ok, change := b.readFrom(offset)
		if limit >= 0 && offset+len(p) > limit {
			p, done, ok = p[:max(0, limit-offset)], true, false
		}
		if len(p) > 0 {
			if _, err := w.Write(p); err != nil {
				return false
			}
			if flusher != nil {
				flusher.Flush()
			}
			offset += len(p)
		}
		if done {
			return ok
		}
		if len(p) > 0 {
			continue
		}
		select {
		case <-change:
		case <-ctx.Done():
			return false
		}
	}
}
