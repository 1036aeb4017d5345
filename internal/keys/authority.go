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

// File names in the authority's folder.
const (
	CACertFile = "ca.pem"
	CAKeyFile  = "ca-key.pem"
)

const (
	serialBits = 127
	// clockSkew is how far a peer's clock may be behind when it checks a new
	// certificate.
	clockSkew = 5 * time.Minute

	keyFileMode  = 0o600
	certFileMode = 0o644
	dirMode      = 0o700
)

var subjectNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// CreateAuthority creates a certificate authority in the folder. It returns an
// error if the folder already holds one.
func CreateAuthority(dir string, validity time.Duration) error {
	if _, err := os.Stat(filepath.Join(dir, CAKeyFile)); err == nil {
		return errkind.New(errkind.Usage, "%s already holds a certificate authority; choose another folder", dir)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "generate the authority's private key")
	}
	tmpl, err := certTemplate("kumquathollow authority", validity)
	if err != nil {
		return err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "create the authority's certificate")
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errkind.Wrap(err, errkind.Usage, "create the authority's folder")
	}
	return writeKeyPair(filepath.Join(dir, CACertFile), filepath.Join(dir, CAKeyFile), der, key)
}

// IssueCertificate creates NAME.pem and NAME-key.pem in outDir, signed by the
// authority in authorityDir, and returns the two paths.
func IssueCertificate(authorityDir, outDir, role, name string, validity time.Duration) (certPath, keyPath string, err error) {
	if !ValidRole(role) {
		return "", "", errkind.New(errkind.Usage, "unknown role %q; use %s, %s or %s", role, RoleRouter, RoleControl, RoleOperator)
	}
	if !subjectNamePattern.MatchString(name) {
		return "", "", errkind.New(errkind.Usage, "invalid name %q; use at most 64 letters, digits and . _ @ -, beginning with a letter or digit", name)
	}
	caCert, caKey, err := loadAuthority(authorityDir)
	if err != nil {
		return "", "", err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errkind.Wrap(err, errkind.Internal, "generate the private key")
	}
	tmpl, err := certTemplate(name, validity)
	if err != nil {
		return "", "", err
	}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = extKeyUsages(role)
	tmpl.URIs = []*url.URL{identityURI(role, name)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, caCert, &key.PublicKey, caKey)
	if err != nil {
		return "", "", errkind.Wrap(err, errkind.Internal, "sign the certificate")
	}
	if err := os.MkdirAll(outDir, dirMode); err != nil {
		return "", "", errkind.Wrap(err, errkind.Usage, "create the folder for the certificate")
	}
	certPath, keyPath = filepath.Join(outDir, name+".pem"), filepath.Join(outDir, name+"-key.pem")
	return certPath, keyPath, writeKeyPair(certPath, keyPath, der, key)
}

// extKeyUsages returns the extended key usages of a role. An operator's
// certificate is not valid for a server.
func extKeyUsages(role string) []x509.ExtKeyUsage {
	if role == RoleOperator {
		return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	}
	return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
}

func certTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "generate a certificate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"kumquathollow"}},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
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
		return nil, nil, errkind.Wrap(err, errkind.Usage, "read the authority's private key; create one with kqctl keys init")
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, nil, errkind.New(errkind.Usage, "%s holds no PEM block", path)
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.Usage, "parse the private key %s", path)
	}
	return cert, key, nil
}

// LoadCertificate returns the first certificate of a PEM file.
func LoadCertificate(path string) (*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "read the certificate")
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != "CERTIFICATE" {
		return nil, errkind.New(errkind.Usage, "%s holds no PEM certificate", path)
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "parse the certificate %s", path)
	}
	return cert, nil
}

func writeKeyPair(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "encode the private key")
	}
	if err := writePEM(keyPath, "EC PRIVATE KEY", keyDER, keyFileMode); err != nil {
		return err
	}
	return writePEM(certPath, "CERTIFICATE", der, certFileMode)
}

// writePEM replaces the file at path atomically.
func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	tmp := path + ".tmp"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), mode); err != nil {
		return errkind.Wrap(err, errkind.Usage, "write %s", path)
	}
	if err := os.Rename(tmp, path); err != nil {
		return errkind.Wrap(err, errkind.Usage, "write %s", path)
	}
	return nil
}
