package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// ServerConfig returns the configuration of a listener that asks every peer for
// a certificate of the fleet's authority, or nil if t names no files. The files
// are read again when they change.
func ServerConfig(t settings.TLS) (*tls.Config, error) {
	files, err := open(t)
	if files == nil || err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := files.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{m.cert},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        m.pool,
				VerifyConnection: hasIdentity,
			}, nil
		},
	}, nil
}

// ClientConfig returns the configuration for dialling the fleet's processes, or
// nil if t names no files. A server's certificate must be of the fleet's
// authority and of the role router or control; host names play no part.
func ClientConfig(t settings.TLS) (*tls.Config, error) {
	files, err := open(t)
	if files == nil || err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard check wants a host name; verifyServer checks the chain.
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return verifyServer(cs, files.current().pool) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c := files.current().cert
			return &c, nil
		},
	}, nil
}

// ListenerConfig returns the configuration of a listener towards callers or
// backend servers, or nil if t names no files. Only Cert and Key are needed;
// with CA, clients must show a certificate of that authority.
func ListenerConfig(t settings.TLS) (*tls.Config, error) {
	files, err := openWith(t, false)
	if files == nil || err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := files.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{m.cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if m.pool != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.pool
			}
			return c, nil
		},
		NextProtos: []string{"h2", "http/1.1"},
	}, nil
}

// hasIdentity refuses a peer whose certificate names no role.
func hasIdentity(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errkind.New(errkind.Unauthenticated, "the peer showed no certificate")
	}
	_, _, err := Identity(cs.PeerCertificates[0])
	return err
}

// verifyServer checks a server's chain and role.
func verifyServer(cs tls.ConnectionState, roots *x509.CertPool) error {
	if err := hasIdentity(cs); err != nil {
		return err
	}
	leaf := cs.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errkind.Wrap(err, errkind.Unauthenticated, "the server's certificate")
	}
	if name, role, _ := Identity(leaf); role == RoleOperator {
		return errkind.New(errkind.Unauthenticated, "the server shows the certificate of operator %q", name)
	}
	return nil
}
