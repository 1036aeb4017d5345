package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/settings"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

const (
	// maxBufferedBytes limits the lines that wait to be written. It holds about 500 lines.
	maxBufferedBytes = 128 << 10
	// flushDelay is how long lines are collected before they are written with a single
	// system call.
	flushDelay = 100 * time.Millisecond
)

// Writer is an io.Writer that buffers lines for another writer. Write never waits for
// that writer and is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte
	spare   []byte
	wake    chan struct{}
	done    chan struct{}
	closed  bool
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to out until it is closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write appends one line to the buffer, or drops it if it does not fit or the Writer is
// closed. It always reports success.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.buf)+len(p) > maxBufferedBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(p), nil
	}
	first := len(w.buf) == 0
	w.buf = append(w.buf, p...)
	w.mu.Unlock()
	if first {
		w.signal()
	}
	return len(p), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	var reported int64
	for range w.wake {
		time.Sleep(flushDelay)
		w.mu.Lock()
		lines, closed := w.buf, w.closed
		w.buf = w.spare[:0]
		w.mu.Unlock()
		if n := w.dropped.Load(); n > reported {
			lines = fmt.Appendf(lines, "%s [WARN]  log: lines dropped: count=%d total=%d\n", time.Now().Format(hclog.TimeFormat), n-reported, n)
			reported = n
		}
		// The error is ignored: there is no other place to report it.
		_, _ = w.out.Write(lines)
		w.spare = lines
		if closed {
			return
		}
	}
}

// Close writes the buffered lines and waits until they are written.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}

// NewLogger returns a root logger that writes through w.
func NewLogger(name string, l settings.Log, w *Writer) hclog.Logger {
	return telemetry.NewLoggerTo(name, l, w)
}
