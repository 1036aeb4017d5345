package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Names of the authority's files in its folder.
const (
	CACertFile = "ca.pem"
	CAKeyFile  = "ca-key.pem"
)

const (
	serialBits = 127
	// clockSkew is how far behind a peer's clock may be.
	clockSkew = 5 * time.Minute

	secretMode = 0o600
	publicMode = 0o644
	folderMode = 0o700
)

var holderPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// Init creates a certificate authority in the folder. It refuses a folder that
// holds one already.
func Init(dir string, valid time.Duration) error {
	if _, err := os.Stat(filepath.Join(dir, CAKeyFile)); err == nil {
		return errkind.New(errkind.Usage, "%s holds an authority already; choose another folder", dir)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "make the authority's key")
	}
	tmpl, err := template("kumquathollow authority", valid)
	if err != nil {
		return err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "make the authority's certificate")
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return errkind.Wrap(err, errkind.Usage, "create the authority's folder")
	}
	return writePair(filepath.Join(dir, CACertFile), filepath.Join(dir, CAKeyFile), der, key)
}

// Issue creates NAME.pem and NAME-key.pem in the folder out for the holder,
// signed by the authority in the folder dir, and returns the two paths.
func Issue(dir, out, role, name string, valid time.Duration) (certPath, keyPath string, err error) {
	if !ValidRole(role) {
		return "", "", errkind.New(errkind.Usage, "%q is no role; give %s, %s or %s", role, RoleRouter, RoleControl, RoleOperator)
	}
	if !holderPattern.MatchString(name) {
		return "", "", errkind.New(errkind.Usage, "%q is no holder's name; use letters, digits and . _ @ -", name)
	}
	caCert, caKey, err := loadAuthority(dir)
	if err != nil {
		return "", "", err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errkind.Wrap(err, errkind.Internal, "make the key")
	}
	tmpl, err := template(name, valid)
	if err != nil {
		return "", "", err
	}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = usagesOf(role)
	tmpl.URIs = []*url.URL{identityURI(role, name)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, caCert, &key.PublicKey, caKey)
	if err != nil {
		return "", "", errkind.Wrap(err, errkind.Internal, "sign the certificate")
	}
	if err := os.MkdirAll(out, folderMode); err != nil {
		return "", "", errkind.Wrap(err, errkind.Usage, "create the folder for the certificate")
	}
	certPath, keyPath = filepath.Join(out, name+".pem"), filepath.Join(out, name+"-key.pem")
	return certPath, keyPath, writePair(certPath, keyPath, der, key)
}

// usagesOf gives operators no right to serve.
func usagesOf(role string) []x509.ExtKeyUsage {
	if role == RoleOperator {
		return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	}
	return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
}

func template(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "choose a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"kumquathollow"}},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(valid),
	}, nil
}

func loadAuthority(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	cert, err := LoadCertificate(filepath.Join(dir, CACertFile))
	if err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, CAKeyFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.Usage, "read the authority's key; make one with kqctl keys init")
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, nil, errkind.New(errkind.Usage, "%s holds no PEM", path)
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.Usage, "%s", path)
	}
	return cert, key, nil
}

// LoadCertificate returns the first certificate of a PEM file.
func LoadCertificate(path string) (*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "read a certificate")
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != "CERTIFICATE" {
		return nil, errkind.New(errkind.Usage, "%s holds no certificate in PEM", path)
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "%s", path)
	}
	return cert, nil
}

func writePair(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "encode the key")
	}
	if err := writePEM(keyPath, "EC PRIVATE KEY", keyDER, secretMode); err != nil {
		return err
	}
	return writePEM(certPath, "CERTIFICATE", der, publicMode)
}

// writePEM replaces the file at path in one step.
func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	tmp := path + ".tmp"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode); err != nil {
		return errkind.Wrap(err, errkind.Usage, "write %s", path)
	}
	if err := os.Rename(tmp, path); err != nil {
		return errkind.Wrap(err, errkind.Usage, "write %s", path)
	}
	return nil
}
