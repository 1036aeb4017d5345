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
	dialTimeout            = 2 * time.Second
	idleConnTimeout        = 30 * time.Second
	idleConnsPerServer     = 256
	maxResponseHeaderBytes = 16 << 10
	transportReadBuffer    = 1 << 10
	transportWriteBuffer   = 2 << 10
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
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         transportReadBuffer,
		WriteBufferSize:        transportWriteBuffer,
	}
}

// sendTracker tracks one request over the connections on which the transport
// sends it. The transport may retry a request on a second connection if the first
// turns out to be closed; the gate allows that only while no byte has been sent.
type sendTracker struct {
	// tryStart is called immediately before the first byte is sent and reports
	// whether it may be sent.
	tryStart func() bool
	conn     *gatedConn
	// sent is set if a byte was sent on an earlier connection.
	sent bool
}

// trace returns ctx with a hook that arms each connection.
func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.sealConn()
	conn, ok := info.Conn.(*gatedConn)
	if !ok {
		s.sent = true
		return
	}
	alreadySent := s.sent
	conn.arm(func() bool { return !alreadySent && s.tryStart() })
	s.conn = conn
}

func (s *sendTracker) sealConn() {
	if s.conn != nil && s.conn.seal() {
		s.sent = true
	}
	s.conn = nil
}

// mayHaveSent reports, after a failed round trip, whether a byte of the request
// may have been sent. No byte is sent after the call.
func (s *sendTracker) mayHaveSent() bool {
	s.sealConn()
	return s.sent
}

// requestBody is the body of a request that is being sent. It can be read again
// from the start, since the gate lets only one connection begin to send. release
// drops the data.
type requestBody struct {
	mu     sync.Mutex
	data   []byte
	length int
	// read is how far the newest reader has come.
	read int
}

func newRequestBody(data []byte) *requestBody { return &requestBody{data: data, length: len(data)} }

// reader returns a reader that starts at the beginning of the body.
func (b *requestBody) reader() (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read = 0
	return &requestBodyReader{body: b}, nil
}

// isSent reports whether the newest reader has come to the end of the body.
func (b *requestBody) isSent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read >= b.length
}

// release drops the data. Later reads within the body fail, and the transport then closes the
// connection, also if its response goes on.
func (b *requestBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = nil
}

type requestBodyReader struct {
	body   *requestBody
	offset int
}

// Read implements io.Reader.
func (r *requestBodyReader) Read(p []byte) (int, error) {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.offset >= r.body.length {
		return 0, io.EOF // also after release: a response may arrive before this read
	}
	if r.body.data == nil {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.body.data[r.offset:])
	r.offset += n
	r.body.read = r.offset
	return n, nil
}

// Close implements io.Closer.
func (r *requestBodyReader) Close() error { return nil }
