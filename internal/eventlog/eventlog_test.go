package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// stuck is a standard output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// The log must not hold up the process, whatever becomes of its reader.
func TestAStuckOutputBlocksNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	log := New("router", settings.Log{}, w)
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
		t.Fatal("logging waits for the output")
	}
	if w.Dropped() == 0 {
		t.Error("10,000 lines fitted into the buffer")
	}
	close(out.release)
	w.Close()
	text := out.buf.String()
	if !strings.Contains(text, "request: request=0 ") && !strings.Contains(text, "request=0 ") {
		t.Error("the first line was lost")
	}
	if !strings.Contains(text, "lines dropped") {
		t.Error("the log does not tell that lines were dropped")
	}
	for line := range strings.Lines(text) {
		if !strings.Contains(line, "[INFO]") && !strings.Contains(line, "[WARN]") {
			t.Fatalf("a torn line: %q", line)
		}
	}
}

func TestCloseWritesWhatWaits(t *testing.T) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	New("router", settings.Log{}, w).Info("stopped")
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
		t.Error("one kind uses up another's lines")
	}
	left, ok := s.Allow("refused", now.Add(time.Second))
	if !ok || left != 90 {
		t.Errorf("in the next second: %v, %d left out, want 90", ok, left)
	}
	if left, _ := s.Allow("refused", now.Add(time.Second)); left != 0 {
		t.Errorf("lines left out are told twice: %d", left)
	}
}
