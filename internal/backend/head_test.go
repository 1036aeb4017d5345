package backend

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// headOf returns a head with so many lines besides the status line and the empty line.
func headOf(lines, valueBytes int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for i := range lines {
		fmt.Fprintf(&b, "a%d: %s\r\n", i, strings.Repeat("v", valueBytes))
	}
	b.WriteString("\r\n")
	return b.String()
}

// Guards against heads that cost memory which no reservation covers, and against reservations
// for heads as healthy servers send them.
func TestAHeadIsChargedBeforeItIsKept(t *testing.T) {
	usual := headOf(35, 30)
	for name, tc := range map[string]struct {
		head string
		err  error
		// free is set if the head needs no reservation.
		free bool
	}{
		"a usual head":        {head: usual, free: true},
		"as many lines":       {head: headOf(maxHeadLines-2, 1)},
		"too many lines":      {head: headOf(maxHeadLines-1, 1), err: errTooManyHeadLines},
		"a long line":         {head: headOf(1, maxHeadBytes-100)},
		"too long a line":     {head: headOf(1, maxHeadBytes), err: errHeadTooLong},
		"no line":             {head: strings.Repeat("x", maxHeadBytes+1), err: errHeadTooLong},
		"a body behind it":    {head: usual + strings.Repeat("\n", readBufferBytes), free: true},
		"no end, two returns": {head: "HTTP/1.1 200 OK\r\n\r\r\n" + strings.Repeat("b: 1\n", maxHeadLines), err: errTooManyHeadLines},
	} {
		for _, size := range []int{1, 7, readBufferBytes} {
			t.Run(fmt.Sprintf("%s in pieces of %d bytes", name, size), func(t *testing.T) {
				reserved := int64(0)
				m := &headMeter{reserve: func(n int64) error {
					reserved += n
					return nil
				}}
				m.begin()
				var err error
				for rest := []byte(tc.head); len(rest) > 0 && err == nil; {
					n := min(size, len(rest))
					err = m.add(rest[:n])
					rest = rest[n:]
					if err == nil && reserved != headCost(m.size, m.lines) {
						t.Fatalf("%d bytes in %d lines reserved %d bytes of memory, want %d", m.size, m.lines, reserved, headCost(m.size, m.lines))
					}
				}
				if !errors.Is(err, tc.err) {
					t.Errorf("the error is %v, want %v", err, tc.err)
				}
				if tc.err == nil && !m.ended {
					t.Error("the end of the head was not found")
				}
				if tc.free != (reserved == 0) {
					t.Errorf("%d bytes of memory were reserved", reserved)
				}
			})
		}
	}
}

// Guards against a head without end that passes for one that has ended.
func TestBytesBehindAHeadAreLimited(t *testing.T) {
	m := &headMeter{}
	m.begin()
	if err := m.add([]byte(headOf(1, 1))); err != nil || !m.ended {
		t.Fatalf("the head was not read: %v", err)
	}
	if err := m.add(make([]byte, maxHeadBytes+readBufferBytes)); !errors.Is(err, errHeadTooLong) {
		t.Errorf("the error is %v, want %v", err, errHeadTooLong)
	}
}

// Guards against interim responses that reserve memory once more each, and against a full budget
// that is exceeded.
func TestHeadsOfOneRequestShareAReservation(t *testing.T) {
	const limit = 200 << 10
	errFull := errors.New("full")
	reserved := int64(0)
	m := &headMeter{reserve: func(n int64) error {
		if reserved+n > limit {
			return errFull
		}
		reserved += n
		return nil
	}}
	for range maxResponses {
		m.begin()
		if err := m.add([]byte(headOf(100, 10))); err != nil {
			t.Fatal(err)
		}
	}
	if want := headCost(m.size, m.lines); reserved != want {
		t.Errorf("%d heads reserved %d bytes, want %d", maxResponses, reserved, want)
	}
	m.begin()
	if err := m.add([]byte(headOf(maxHeadLines-2, 10))); !errors.Is(err, errFull) {
		t.Errorf("the error is %v, want that of the budget", err)
	}
}

// Guards against a cost that is below what a head takes as it is passed on: parsed, in the header
// of the response to the client, and in the copy of it that net/http makes.
func TestTheCostOfAHeadCoversWhatItTakes(t *testing.T) {
	const heads = 64
	type kept struct{ parsed, copied, sent http.Header }
	for name, head := range map[string]string{
		"many short lines": headOf(maxHeadLines-2, 1),
		"lines of 100":     headOf(400, 100),
		"lines of 500":     headOf(maxHeadLines-2, 500),
		"a long line":      headOf(1, maxHeadBytes-100),
	} {
		t.Run(name, func(t *testing.T) {
			all := make([]kept, heads)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range all {
				resp, err := http.ReadResponse(bufio.NewReaderSize(strings.NewReader(head), readBufferBytes), nil)
				if err != nil {
					t.Fatal(err)
				}
				copied := http.Header{}
				for k, v := range resp.Header {
					copied[k] = v
				}
				all[i] = kept{resp.Header, copied, copied.Clone()}
			}
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(all)
			m := &headMeter{}
			if err := m.add([]byte(head)); err != nil {
				t.Fatal(err)
			}
			charged := headCost(m.size, m.lines) + freeHeadCost
			took := int64(after.TotalAlloc-before.TotalAlloc) / heads
			t.Logf("%d bytes in %d lines took %d bytes of memory, charged %d", m.size, m.lines, took, charged)
			if took > charged {
				t.Errorf("a head took %d bytes of memory, charged %d", took, charged)
			}
		})
	}
}
