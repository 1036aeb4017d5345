package rpc

import (
	"bytes"
	"net"
	"testing"

	"storj.io/drpc/drpcwire"

	"github.com/kumquathollow/kumquathollow/internal/memory"
)

// Guards against frames that are followed wrongly, so that messages which have ended count, or ones
// without end do not.
func TestMessagesThatHaveEndedDoNotCount(t *testing.T) {
	var sent []byte
	frame := func(stream uint64, data int, done bool) {
		sent = drpcwire.AppendFrame(sent, drpcwire.Frame{
			Data: bytes.Repeat([]byte{0xff}, data), ID: drpcwire.ID{Stream: stream, Message: 1}, Kind: drpcwire.KindMessage, Done: done,
		})
	}
	for stream := uint64(1); stream < 400; stream += 30 {
		frame(stream, 0, true)
		frame(stream, 1, true)
		frame(stream, 300, false)
		frame(stream, 0, false)
		frame(stream, 70_000, true)
	}
	ended := len(sent)
	frame(500, 5000, false)
	frame(500, 100, false)
	for _, size := range []int{1, 3, 4096, len(sent)} {
		f := &frameParser{}
		for i := 0; i < len(sent); {
			n := min(size, len(sent)-i)
			if i < ended {
				n = min(n, ended-i)
			}
			f.add(sent[i : i+n])
			if i += n; i == ended && f.messageBytes != 0 {
				t.Errorf("in pieces of %d bytes: %d bytes count after all messages have ended", size, f.messageBytes)
			}
		}
		if want := int64(len(sent) - ended); f.messageBytes != want {
			t.Errorf("in pieces of %d bytes: %d bytes count, want %d", size, f.messageBytes, want)
		}
	}
}

// Guards against messages without end on many connections that together take a process's memory:
// each was limited to 32 MB.
func TestMessagesOfManyConnectionsShareTheirMemory(t *testing.T) {
	const (
		connections = 100
		chunkBytes  = 64 << 10
		chunks      = 32
	)
	messages := &memory.Budget{Limit: maxInboundBytes}
	chunk := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, chunkBytes), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage})
	all, refused := make([]*inboundConn, connections), 0
	for i := range all {
		client, server := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		go func() {
			for range chunks {
				if _, err := client.Write(chunk); err != nil {
					return
				}
			}
		}()
		c := &inboundConn{Conn: server, messages: messages}
		all[i] = c
		var err error
		for n, read := 0, 0; err == nil && read < chunks*len(chunk); read += n {
			n, err = c.Read(make([]byte, 16<<10))
		}
		if err != nil {
			refused++
		}
		if used := messages.Used(); used > maxInboundBytes {
			t.Fatalf("%d bytes are reserved, want at most %d", used, maxInboundBytes)
		}
	}
	if refused == 0 || refused == connections {
		t.Errorf("%d of %d connections were refused, want some", refused, connections)
	}
	for _, c := range all {
		_ = c.Close()
		_ = c.Close() // A second one releases nothing.
	}
	if used := messages.Used(); used != 0 {
		t.Errorf("%d bytes are reserved after all connections were closed", used)
	}
}
