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
	// bufferBytes bounds the lines that wait to be written; about 500 lines.
	bufferBytes = 128 << 10
	// flushPause lets lines gather so that they share one system call.
	flushPause = 100 * time.Millisecond
)

// Writer is a non-blocking io.Writer in front of a slow one.
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

// NewWriter returns a Writer that writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line, or drops it if the buffer is full.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.buf)+len(p) > bufferBytes {
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
	var told int64
	for range w.wake {
		time.Sleep(flushPause)
		w.mu.Lock()
		lines, closed := w.buf, w.closed
		w.buf = w.spare[:0]
		w.mu.Unlock()
		if n := w.dropped.Load(); n > told {
			lines = fmt.Appendf(lines, "%s [WARN]  log: lines dropped: count=%d total=%d\n", time.Now().Format(hclog.TimeFormat), n-told, n)
			told = n
		}
		// A log that cannot be written has nowhere to say so.
		_, _ = w.out.Write(lines)
		w.spare = lines
		if closed {
			return
		}
	}
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}

// New returns a root logger that writes through w.
func New(name string, l settings.Log, w *Writer) hclog.Logger {
	return telemetry.NewLoggerTo(name, l, w)
}
