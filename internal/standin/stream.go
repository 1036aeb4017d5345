package standin

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// buffer is the answer of one run: it grows while the run goes on and is kept
// for readers that come back. It is safe for concurrent use.
type buffer struct {
	mu     sync.Mutex
	data   []byte
	done   bool
	ok     bool
	change chan struct{}
	cancel context.CancelFunc
}

func newBuffer(cancel context.CancelFunc) *buffer {
	return &buffer{change: make(chan struct{}), cancel: cancel}
}

func (b *buffer) append(p []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, p...)
	b.wake()
}

// finish ends the buffer; ok is false if the run broke off.
func (b *buffer) finish(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done, b.ok = true, ok
	b.wake()
}

func (b *buffer) wake() {
	close(b.change)
	b.change = make(chan struct{})
}

// from returns the bytes from offset on and a channel that closes on change.
func (b *buffer) from(offset int) (p []byte, done, ok bool, change <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < len(b.data) {
		p = b.data[offset:len(b.data):len(b.data)]
	}
	return p, b.done, b.ok, b.change
}

// wait returns the whole answer when the run has ended.
func (b *buffer) wait(ctx context.Context) (p []byte, ok bool, err error) {
	for {
		p, done, ok, change := b.from(0)
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

// copyTo writes the bytes from offset on as they come, up to limit bytes if
// limit is not negative. It reports whether the answer was written to its end.
func (b *buffer) copyTo(ctx context.Context, w io.Writer, offset, limit int) bool {
	rc, _ := w.(http.Flusher)
	for {
		p, done, ok, change := b.from(offset)
		if limit >= 0 && offset+len(p) > limit {
			p, done, ok = p[:max(0, limit-offset)], true, false
		}
		if len(p) > 0 {
			if _, err := w.Write(p); err != nil {
				return false
			}
			if rc != nil {
				rc.Flush()
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
