package forward

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/memory"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Guards against bodies of unknown length that take memory which nothing limits: they were read
// whole, up to the limit of each, before more than 64 KB of them counted.
func TestBodiesOfUnknownLengthShareTheMemoryOfBodies(t *testing.T) {
	const requests, size = 100, 4 << 20
	f := New(Options{Metrics: telemetry.NewRegistry()})
	body := bytes.Repeat([]byte{'x'}, size)
	all, read := make([]*exchange, requests), 0
	for i := range all {
		x := &exchange{f: f}
		all[i] = x
		got, err := memory.ReadAll(iotest.DataErrReader(bytes.NewReader(body)), -1, x.reserveBody, x.releaseBody)
		switch {
		case err == nil:
			read++
			if x.reservedBytes != int64(cap(got)) {
				t.Fatalf("a body in %d bytes of memory reserves %d", cap(got), x.reservedBytes)
			}
			x.body = got
		case !errkind.Is(err, errkind.QueueFull):
			t.Fatal(err)
		}
		if used := f.requestBodies.Used(); used > maxBufferedBytes {
			t.Fatalf("%d bytes are reserved, want at most %d", used, maxBufferedBytes)
		}
	}
	if read == 0 || read > maxBufferedBytes/size {
		t.Errorf("%d bodies of %d bytes were read, want 1 to %d", read, size, maxBufferedBytes/size)
	}
	for _, x := range all {
		x.releaseMemory()
	}
	if used := f.requestBodies.Used(); used != 0 {
		t.Errorf("%d bytes are reserved after all requests ended", used)
	}
}

// Guards against bodies that are read wrongly or with another reservation than they need.
func TestBodiesAreReadWithinTheirReservation(t *testing.T) {
	f := New(Options{Metrics: telemetry.NewRegistry()})
	for _, size := range []int{0, 1, 4<<10 - 1, 4 << 10, 4<<10 + 1, 70_000} {
		for _, known := range []bool{true, false} {
			body, length := strings.Repeat("x", size), int64(-1)
			if known {
				length = int64(size)
			}
			x := &exchange{f: f}
			got, err := memory.ReadAll(iotest.OneByteReader(strings.NewReader(body)), length, x.reserveBody, x.releaseBody)
			if err != nil || string(got) != body {
				t.Errorf("%d bytes, length %d: read %d bytes, %v", size, length, len(got), err)
			}
			if x.reservedBytes != int64(cap(got)) {
				t.Errorf("%d bytes, length %d: %d bytes are reserved, want %d", size, length, x.reservedBytes, cap(got))
			}
			x.releaseMemory()
		}
	}
	if used := f.requestBodies.Used(); used != 0 {
		t.Errorf("%d bytes are reserved after all requests ended", used)
	}
}
