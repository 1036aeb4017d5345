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

// recheckInterval is how often the files are looked at for a change at most.
const recheckInterval = time.Second

// material is what the files held when they were read.
type material struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// fileStamp tells whether a file has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// files reads an identity's files and reads them again when they change. While
// the new files do not fit together, the old identity stays in use.
type files struct {
	paths settings.TLS
	now   func() time.Time

	mu      sync.Mutex
	held    *material
	stamps  [3]fileStamp
	checked time.Time
}

// open reads the three files, or returns nil if none is named.
func open(t settings.TLS) (*files, error) { return openWith(t, true) }

func openWith(t settings.TLS, needCA bool) (*files, error) {
	if !t.Enabled() {
		return nil, nil
	}
	if t.Cert == "" || t.Key == "" || (needCA && t.CA == "") {
		return nil, errkind.New(errkind.InvalidSettings, "tls: give all of ca, cert and key, or none")
	}
	f := &files{paths: t, now: time.Now}
	stamps, err := f.stat()
	if err != nil {
		return nil, err
	}
	m, err := f.read()
	if err != nil {
		return nil, err
	}
	f.held, f.stamps, f.checked = m, stamps, f.now()
	return f, nil
}

// current returns the newest material that could be read.
func (f *files) current() material {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.now(); now.Sub(f.checked) >= recheckInterval {
		f.checked = now
		f.reload()
	}
	return *f.held
}

// reload replaces the material if the files have changed and fit together.
func (f *files) reload() {
	stamps, err := f.stat()
	if err != nil || stamps == f.stamps {
		return
	}
	if m, err := f.read(); err == nil {
		f.held, f.stamps = m, stamps
	}
}

func (f *files) stat() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, p := range []string{f.paths.CA, f.paths.Cert, f.paths.Key} {
		if p == "" {
			continue
		}
		info, err := os.Stat(p)
		if err != nil {
			return out, errkind.Wrap(err, errkind.InvalidSettings, "tls")
		}
		out[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

func (f *files) read() (*material, error) {
	cert, err := tls.LoadX509KeyPair(f.paths.Cert, f.paths.Key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "tls: certificate %s with key %s", f.paths.Cert, f.paths.Key)
	}
	m := &material{cert: cert}
	if f.paths.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(f.paths.CA)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "tls")
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(pem) {
		return nil, errkind.Wrap(errors.New("no certificate found"), errkind.InvalidSettings, "tls: %s", f.paths.CA)
	}
	return m, nil
}
