package rpc

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 2 * time.Minute
	poolCapacity    = 1024
	poolKeyCapacity = 128
	// MaxMessageBytes bounds a single message. A whole configuration must fit in one.
	MaxMessageBytes = 32 << 20
)

// Listen opens a TCP listener, with TLS if conf is not nil. If the address is in
// use, the error is of kind address-in-use.
func Listen(addr string, conf *tls.Config) (net.Listener, error) {
	return ListenCounted(addr, conf, nil)
}

// ListenCounted is like Listen but counts the bytes of all connections in t, which
// may be nil. Bytes are counted below TLS, as sent over the network.
func ListenCounted(addr string, conf *tls.Config, t *Traffic) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, errkind.Wrap(err, errkind.AddressInUse, "listen on %s: another process uses this address; stop that process or change the settings", addr)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "listen on %s", addr)
	}
	if t != nil {
		l = t.Listener(l)
	}
	if conf != nil {
		l = tls.NewListener(l, conf)
	}
	return l, nil
}

// Serve serves drpc calls on the listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, h drpc.Handler) error {
	return drpcserver.NewWithOptions(h, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, newInboundListener(l))
}

// Dialer opens and pools connections to the processes of the fleet. It is safe for
// concurrent use.
type Dialer struct {
	// Traffic counts the bytes of all connections of the Dialer.
	Traffic *Traffic
	// Timeout bounds opening a TCP connection; 0 means two seconds.
	Timeout time.Duration
	// Dial opens connections instead of TCP; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	conf *tls.Config
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewDialer returns a Dialer; conf is nil for plain TCP.
func NewDialer(conf *tls.Config) *Dialer {
	return &Dialer{
		Traffic: &Traffic{},
		conf:    conf,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnTimeout,
			Capacity:    poolCapacity,
			KeyCapacity: poolKeyCapacity,
		}),
	}
}

// fleetDialTimeout bounds opening a connection to processes that join and leave
// often. It allows for many round trips between data centres, but is shorter than
// the retransmission time-out of a lost packet.
const fleetDialTimeout = 400 * time.Millisecond

// NewFleetDialer returns a Dialer for plain TCP with the short timeout
// fleetDialTimeout, so that an unreachable address fails fast.
func NewFleetDialer() *Dialer {
	d := NewDialer(nil)
	d.Timeout = fleetDialTimeout
	return d
}

// WithPort returns the addresses with their ports replaced by port. Addresses that
// are not of the form host:port are omitted.
func WithPort(addresses []string, port string) []string {
	out := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// Conn returns a connection to addr. Each call on it takes a connection from the
// pool, or dials one if there is none. Closing the returned connection only
// prevents further calls on it; Close closes the pooled connections.
func (d *Dialer) Conn(ctx context.Context, addr string) drpc.Conn {
	return d.pool.Get(ctx, addr, d.dial)
}

// DialUnpooled dials a connection to addr outside the pool, for a long-lived session.
// The caller must close it.
func (d *Dialer) DialUnpooled(ctx context.Context, addr string) (drpc.Conn, error) {
	return d.dial(ctx, addr)
}

// Close closes all pooled connections.
func (d *Dialer) Close() error { return d.pool.Close() }

func (d *Dialer) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	timeout := d.Timeout
	if timeout == 0 {
		timeout = dialTimeout
	}
	dial := d.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return NetDialer(timeout).DialContext(ctx, "tcp", address)
		}
	}
	raw, err := dial(ctx, addr)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unreachable, "dial %s", addr)
	}
	raw = d.Traffic.countConn(raw)
	if d.conf == nil {
		return newConn(raw), nil
	}
	tc := tls.Client(raw, d.conf)
	hctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := tc.HandshakeContext(hctx); err != nil {
		_ = raw.Close()
		return nil, errkind.Wrap(err, handshakeErrorKind(err), "TLS handshake with %s", addr)
	}
	c := &failureConn{Conn: tc}
	return causeConn{newConn(c), c}, nil
}

// handshakeErrorKind returns the kind of a failed TLS handshake: unreachable if the
// connection broke or timed out, unauthenticated if an identity was rejected.
func handshakeErrorKind(err error) errkind.Kind {
	var op *net.OpError
	broken := errors.As(err, &op) && !IsTLSAlert(err)
	if broken || errors.Is(err, io.EOF) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errkind.Unreachable
	}
	return errkind.Unauthenticated
}

// IsTLSAlert reports whether the peer closed the connection with a TLS alert. A
// server rejects a client's certificate only after the client has completed its
// handshake, so a call on an established connection can fail with an alert.
func IsTLSAlert(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "remote error"
}

func newConn(c net.Conn) drpcpool.Conn {
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: managerOptions()})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// WrapConnectionError classifies the error of a call. An error that the called process
// returned, or that already has a kind, is returned unchanged; that includes a
// failed dial, whose kind says that nothing was sent. Any other error means that
// the connection broke and the outcome of the call is unknown: it is wrapped with
// the kind broken.
func WrapConnectionError(err error, broken errkind.Kind, message string) error {
	var known *errkind.Error
	if drpcerr.Code(err) != 0 || errors.As(err, &known) {
		return err
	}
	return errkind.Wrap(err, broken, "%s", message)
}
