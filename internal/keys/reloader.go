package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// recheckInterval is the minimum interval between checks for changed files.
const recheckInterval = time.Second

// credentials holds the certificate, private key and CA pool read from the files.
type credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// fileVersion identifies the contents of a file, to detect a change.
type fileVersion struct {
	modified time.Time
	size     int64
}

// certReloader loads credentials from files and reloads them when the files
// change. While the new files do not match each other, the old credentials stay
// in use.
type certReloader struct {
	paths settings.TLS
	now   func() time.Time

	mu        sync.Mutex
	creds     *credentials
	versions  [3]fileVersion
	lastCheck time.Time
}

// newMutualTLSReloader reads the CA, certificate and key files. It returns nil if
// no file is configured.
func newMutualTLSReloader(t settings.TLS) (*certReloader, error) { return newCertReloader(t, true) }

func newCertReloader(t settings.TLS, requireCA bool) (*certReloader, error) {
	if !t.Enabled() {
		return nil, nil
	}
	if t.Cert == "" || t.Key == "" || (requireCA && t.CA == "") {
		return nil, errkind.New(errkind.InvalidSettings, "tls: give all of ca, cert and key, or none")
	}
	f := &certReloader{paths: t, now: time.Now}
	versions, err := f.stat()
	if err != nil {
		return nil, err
	}
	creds, err := f.read()
	if err != nil {
		return nil, err
	}
	f.creds, f.versions, f.lastCheck = creds, versions, f.now()
	return f, nil
}

// current returns the newest credentials that could be loaded.
func (f *certReloader) current() credentials {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.now(); now.Sub(f.lastCheck) >= recheckInterval {
		f.lastCheck = now
		f.reload()
	}
	return *f.creds
}

// reload replaces the credentials if the files have changed and match each other.
func (f *certReloader) reload() {
	versions, err := f.stat()
	if err != nil || versions == f.versions {
		return
	}
	if creds, err := f.read(); err == nil {
		f.creds, f.versions = creds, versions
	}
}

func (f *certReloader) stat() ([3]fileVersion, error) {
	var out [3]fileVersion
	for i, p := range []string{f.paths.CA, f.paths.Cert, f.paths.Key} {
		if p == "" {
			continue
		}
		info, err := os.Stat(p)
		if err != nil {
			return out, errkind.Wrap(err, errkind.InvalidSettings, "tls")
		}
		out[i] = fileVersion{info.ModTime(), info.Size()}
	}
	return out, nil
}

func (f *certReloader) read() (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.paths.Cert, f.paths.Key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "tls: load certificate %s with key %s", f.paths.Cert, f.paths.Key)
	}
	creds := &credentials{cert: cert}
	if f.paths.CA == "" {
		return creds, nil
	}
	pem, err := os.ReadFile(f.paths.CA)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "tls")
	}
	creds.pool = x509.NewCertPool()
	if !creds.pool.AppendCertsFromPEM(pem) {
		return nil, errkind.Wrap(errors.New("no certificate found"), errkind.InvalidSettings, "tls: %s", f.paths.CA)
	}
	return creds, nil
}
