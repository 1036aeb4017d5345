package settings

import (
	"bytes"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 1 << 20

// TLS holds the paths of a process's certificate and key files. All three are set,
// or none.
type TLS struct {
	// CA is the path of the certificates of the fleet's certificate authority, PEM.
	CA string `yaml:"ca,omitempty"`
	// Cert is the path of the process's certificate, PEM.
	Cert string `yaml:"cert,omitempty"`
	// Key is the path of the process's private key, PEM.
	Key string `yaml:"key,omitempty"`
}

// Enabled reports whether any of the paths is set.
func (t TLS) Enabled() bool { return t.CA != "" || t.Cert != "" || t.Key != "" }

// Log configures the log of a process.
type Log struct {
	// Level is trace, debug, info, warn or error; default info.
	Level string `yaml:"level,omitempty"`
	// Format is text or json; default text.
	Format string `yaml:"format,omitempty"`
}

// WithDefaults returns the settings with all defaults applied.
func (l Log) WithDefaults() Log {
	if l.Level == "" {
		l.Level = "info"
	}
	if l.Format == "" {
		l.Format = "text"
	}
	return l
}

// Load reads the YAML file at path into the struct that into points to. The
// error has kind invalid-settings and lists every fault.
func Load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, "read settings")
	}
	if len(data) > maxFileBytes {
		return errkind.New(errkind.InvalidSettings, "%s: the file is over %d bytes", path, maxFileBytes)
	}
	if faults := decodeSingle(data, into); len(faults) > 0 {
		for i := range faults {
			faults[i].File = path
		}
		return errkind.Wrap(faults, errkind.InvalidSettings, "%s", path)
	}
	return nil
}

// decodeSingle decodes data that must hold exactly one document.
func decodeSingle(data []byte, into any) Faults {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return Faults{{Line: 1, Message: "the file is empty"}}
	}
	if err != nil {
		return Faults{SyntaxFault(err)}
	}
	faults := Decode(&doc, into)
	var next yaml.Node
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		faults = append(faults, Fault{Line: next.Line, Message: "the file holds more than one document; settings must be a single document"})
	}
	return faults
}
