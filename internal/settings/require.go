package settings

import (
	"net"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Field is a setting's name and value.
type Field struct{ Name, Value string }

// Require returns an error if a field is empty.
func Require(fields ...Field) error {
	for _, f := range fields {
		if f.Value == "" {
			return errkind.New(errkind.InvalidSettings, "%s is missing", f.Name)
		}
	}
	return nil
}

// CheckAddresses returns an error if an address is not of the form host:port.
func CheckAddresses(addresses ...string) error {
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return errkind.Wrap(err, errkind.InvalidSettings, "address %q", a)
		}
	}
	return nil
}
