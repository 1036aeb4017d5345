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
	idleExpiry      = 2 * time.Minute
	poolCapacity    = 1024
	poolKeyCapacity = 128
	// maxMessageBytes bounds one message; a whole configuration must fit.
	maxMessageBytes = 32 << 20
)

// Listen opens a TCP listener, with TLS if conf is not nil. A taken address
// gives an error of kind address-in-use.
func Listen(addr string, conf *tls.Config) (net.Listener, error) {
	return ListenCounted(addr, conf, nil)
}

// ListenCounted is Listen with the bytes of all connections counted in t, which
// may be nil. They are counted below TLS.
func ListenCounted(addr string, conf *tls.Config, t *Traffic) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, errkind.Wrap(err, errkind.AddressInUse, "listen on %s: another process has it; stop it or change the settings", addr)
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

// Serve answers drpc calls on the listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, h drpc.Handler) error {
	return drpcserver.NewWithOptions(h, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, l)
}

// Dialer gives pooled connections to the fleet's processes. It is safe for
// concurrent use.
type Dialer struct {
	// Traffic counts the bytes of the connections.
	Traffic *Traffic
	// Timeout bounds opening a connection; 0 means two seconds.
	Timeout time.Duration

	conf *tls.Config
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewDialer returns a Dialer; conf is nil for plain TCP.
func NewDialer(conf *tls.Config) *Dialer {
	return &Dialer{
		Traffic: &Traffic{},
		conf:    conf,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiry,
			Capacity:    poolCapacity,
			KeyCapacity: poolKeyCapacity,
		}),
	}
}

// fleetDialTimeout bounds opening a connection where members come and go: many
// round trips between data centres, and less than a lost packet's retransmission.
const fleetDialTimeout = 400 * time.Millisecond

// NewFleetDialer returns a Dialer for plain TCP that gives an address up soon.
func NewFleetDialer() *Dialer {
	d := NewDialer(nil)
	d.Timeout = fleetDialTimeout
	return d
}

// OnPort returns the addresses with their ports replaced; those that are no
// host:port are left out.
func OnPort(addresses []string, port string) []string {
	out := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// Conn returns a connection to addr that dials on first use. Closing it returns
// nothing to the caller; pooled connections end with the Dialer.
func (d *Dialer) Conn(ctx context.Context, addr string) drpc.Conn {
	return d.pool.Get(ctx, addr, d.dial)
}

// Direct opens a connection of its own to addr, for a session that lasts. The
// client closes it.
func (d *Dialer) Direct(ctx context.Context, addr string) (drpc.Conn, error) {
	return d.dial(ctx, addr)
}

// Close ends all pooled connections.
func (d *Dialer) Close() error { return d.pool.Close() }

func (d *Dialer) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	timeout := d.Timeout
	if timeout == 0 {
		timeout = dialTimeout
	}
	raw, err := NetDialer(timeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unreachable, "dial %s", addr)
	}
	raw = d.Traffic.conn(raw)
	if d.conf == nil {
		return newConn(raw), nil
	}
	tc := tls.Client(raw, d.conf)
	hctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := tc.HandshakeContext(hctx); err != nil {
		_ = raw.Close()
		return nil, errkind.Wrap(err, handshakeKind(err), "TLS with %s", addr)
	}
	return newConn(tc), nil
}

// handshakeKind tells a refused identity from a connection that broke.
func handshakeKind(err error) errkind.Kind {
	var op *net.OpError
	broken := errors.As(err, &op) && !IsTLSAlert(err)
	if broken || errors.Is(err, io.EOF) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errkind.Unreachable
	}
	return errkind.Unauthenticated
}

// IsTLSAlert reports whether the other side ended the connection with a TLS
// alert. A server that refuses a client's certificate does so after the client's
// handshake is done, so a call can fail with it.
func IsTLSAlert(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "remote error"
}

func newConn(c net.Conn) drpcpool.Conn {
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: managerOptions()})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// KeepWord returns a call's error with the kind that the answering process gave.
// A connection that broke leaves open what became of the call: its error gets the
// kind broken. A failed dial has a kind of its own and says that nothing was sent.
func KeepWord(err error, broken errkind.Kind, message string) error {
	var known *errkind.Error
	if drpcerr.Code(err) != 0 || errors.As(err, &known) {
		return err
	}
	return errkind.Wrap(err, broken, "%s", message)
}
