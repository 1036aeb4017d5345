package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// blockedWriter is an output on which writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Logging must not block the process while nobody reads its standard output.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	log := NewLogger("router", settings.Log{}, w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 10_000 {
			log.Info("request", "request", i, "outcome", "answered")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging is blocked by the output")
	}
	if w.Dropped() == 0 {
		t.Error("no lines dropped, though 10,000 lines exceed the buffer")
	}
	close(out.release)
	w.Close()
	text := out.buf.String()
	if !strings.Contains(text, "request: request=0 ") && !strings.Contains(text, "request=0 ") {
		t.Error("the first line was lost")
	}
	if !strings.Contains(text, "lines dropped") {
		t.Error("the log does not report the dropped lines")
	}
	for line := range strings.Lines(text) {
		if !strings.Contains(line, "[INFO]") && !strings.Contains(line, "[WARN]") {
			t.Fatalf("not a complete log line: %q", line)
		}
	}
}

func TestCloseWritesBufferedLines(t *testing.T) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	NewLogger("router", settings.Log{}, w).Info("stopped")
	w.Close()
	if !strings.Contains(buf.String(), "stopped") {
		t.Errorf("written: %q", buf.String())
	}
	if _, err := w.Write([]byte("late")); err != nil || w.Dropped() != 1 {
		t.Errorf("a write after Close: %v, %d dropped", err, w.Dropped())
	}
}

func TestSamplerBoundsEachKindAndCountsTheRest(t *testing.T) {
	s := NewSampler(10)
	now := time.Unix(1_700_000_000, 0)
	written := 0
	for range 100 {
		if _, ok := s.Allow("refused", now); ok {
			written++
		}
	}
	if written != 10 {
		t.Errorf("%d lines in one second, want 10", written)
	}
	if _, ok := s.Allow("answered", now); !ok {
		t.Error("the limit of one kind applies to another")
	}
	suppressed, ok := s.Allow("refused", now.Add(time.Second))
	if !ok || suppressed != 90 {
		t.Errorf("in the next second: allowed %v, %d suppressed, want 90", ok, suppressed)
	}
	if suppressed, _ := s.Allow("refused", now.Add(time.Second)); suppressed != 0 {
		t.Errorf("%d suppressed lines are reported twice", suppressed)
	}
}
