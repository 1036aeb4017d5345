package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	dialTimeout          = 2 * time.Second
	idleConnTimeout      = 30 * time.Second
	idleConnsPerServer   = 256
	maxAnswerHeader      = 64 << 10
	transportReadBuffer  = 1 << 10
	transportWriteBuffer = 2 << 10
)

// newTransport returns the transport to backend servers: HTTP/1.1, no proxy, no
// decompression, no cookies. Each connection is a gatedConn.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ReadBufferSize:         transportReadBuffer,
		WriteBufferSize:        transportWriteBuffer,
	}
}

// sending follows one request over the connections that the transport gives it.
// The transport may try a request again on a second connection when the first
// turns out to be closed; the gate lets that happen only while no byte has left.
type sending struct {
	// mayStart is asked immediately before the first byte.
	mayStart func() bool
	conn     *gatedConn
	// left is true if a byte has left on an earlier connection.
	left bool
}

// trace returns ctx with the hooks that arm connections.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.endConn()
	conn, ok := info.Conn.(*gatedConn)
	if !ok {
		s.left = true
		return
	}
	left := s.left
	conn.arm(func() bool { return !left && s.mayStart() })
	s.conn = conn
}

func (s *sending) endConn() {
	if s.conn != nil && s.conn.seal() {
		s.left = true
	}
	s.conn = nil
}

// mayHaveLeft reports, after a failed round trip, whether a byte of the request
// may have left. No byte leaves after the call.
func (s *sending) mayHaveLeft() bool {
	s.endConn()
	return s.left
}

// sentBody is the body of a request on its way. It can be rewound, since the gate
// lets one sending only begin, and it lets go of the data once the answer has
// begun.
type sentBody struct {
	mu     sync.Mutex
	data   []byte
	length int
}

func newSentBody(data []byte) *sentBody { return &sentBody{data: data, length: len(data)} }

// reader returns a reader from the start.
func (b *sentBody) reader() (io.ReadCloser, error) { return &sentBodyReader{body: b}, nil }

// release drops the data; later reads fail.
func (b *sentBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = nil
}

type sentBodyReader struct {
	body *sentBody
	at   int
}

// Read implements io.Reader.
func (r *sentBodyReader) Read(p []byte) (int, error) {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.at >= r.body.length {
		return 0, io.EOF // also after release: an early answer may overtake this read
	}
	if r.body.data == nil {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.body.data[r.at:])
	r.at += n
	return n, nil
}

// Close implements io.Closer.
func (r *sentBodyReader) Close() error { return nil }
