package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/url"

	"storj.io/drpc/drpcctx"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Roles of certificate subjects.
const (
	RoleRouter   = "router"
	RoleControl  = "control"
	RoleOperator = "operator"
)

// uriScheme is the scheme of the URI that identifies a certificate's subject.
const uriScheme = "kq"

// ValidRole reports whether role is one of the roles above.
func ValidRole(role string) bool {
	return role == RoleRouter || role == RoleControl || role == RoleOperator
}

// identityURI returns the URI that identifies a subject.
func identityURI(role, name string) *url.URL {
	return &url.URL{Scheme: uriScheme, Host: role, Path: "/" + name}
}

// Identity returns the name and the role of a certificate's subject.
func Identity(cert *x509.Certificate) (name, role string, err error) {
	for _, u := range cert.URIs {
		if u.Scheme != uriScheme || !ValidRole(u.Host) || len(u.Path) < 2 {
			continue
		}
		return u.Path[1:], u.Host, nil
	}
	return "", "", errkind.New(errkind.Unauthenticated, "the certificate of %q has no URI kq://ROLE/NAME with a known role; issue one with kqctl keys issue", cert.Subject.CommonName)
}

// PeerIdentity returns the authenticated identity of the other side of a drpc call. ok
// is false for a connection without TLS, or if the peer's certificate has no
// identity.
func PeerIdentity(ctx context.Context) (name, role string, ok bool) {
	tr, found := drpcctx.Transport(ctx)
	if !found {
		return "", "", false
	}
	conn, found := tlsConn(tr)
	if !found {
		return "", "", false
	}
	certs := conn.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return "", "", false
	}
	name, role, err := Identity(certs[0])
	return name, role, err == nil
}

// tlsConn unwraps a transport to its TLS connection.
func tlsConn(tr any) (*tls.Conn, bool) {
	for {
		switch v := tr.(type) {
		case *tls.Conn:
			return v, true
		case interface{ NetConn() net.Conn }:
			tr = v.NetConn()
		default:
			return nil, false
		}
	}
}
