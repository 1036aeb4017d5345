package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// FleetServerConfig returns the configuration of a listener that requires every peer
// to present a certificate of the fleet's authority, or nil if t names no files.
// The files are reloaded when they change.
func FleetServerConfig(t settings.TLS) (*tls.Config, error) {
	reloader, err := newMutualTLSReloader(t)
	if reloader == nil || err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := reloader.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{creds.cert},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        creds.pool,
				VerifyConnection: verifyIdentity,
			}, nil
		},
	}, nil
}

// FleetClientConfig returns the configuration for dialling the fleet's processes, or
// nil if t names no files. A server's certificate must be signed by the fleet's
// authority and have the role router or control; its host name is not verified.
func FleetClientConfig(t settings.TLS) (*tls.Config, error) {
	reloader, err := newMutualTLSReloader(t)
	if reloader == nil || err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard verification requires a host name, which peers do not
		// have. verifyServer verifies the certificate chain and the role instead.
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return verifyServer(cs, reloader.current().pool) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c := reloader.current().cert
			return &c, nil
		},
	}, nil
}

// ExternalServerConfig returns the configuration of a listener for callers or backend
// servers, or nil if t names no files. Only Cert and Key are required; with CA,
// clients must present a certificate of that authority.
func ExternalServerConfig(t settings.TLS) (*tls.Config, error) {
	reloader, err := newCertReloader(t, false)
	if reloader == nil || err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := reloader.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{creds.cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if creds.pool != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, creds.pool
			}
			return c, nil
		},
		NextProtos: []string{"h2", "http/1.1"},
	}, nil
}

// verifyIdentity rejects a peer whose certificate has no valid identity.
func verifyIdentity(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errkind.New(errkind.Unauthenticated, "the peer presented no certificate")
	}
	_, _, err := Identity(cs.PeerCertificates[0])
	return err
}

// verifyServer verifies a server's certificate chain and role.
func verifyServer(cs tls.ConnectionState, roots *x509.CertPool) error {
	if err := verifyIdentity(cs); err != nil {
		return err
	}
	leaf := cs.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errkind.Wrap(err, errkind.Unauthenticated, "verify the server's certificate")
	}
	if name, role, _ := Identity(leaf); role == RoleOperator {
		return errkind.New(errkind.Unauthenticated, "the server presented the certificate of operator %q; it must have the role router or control", name)
	}
	return nil
}
