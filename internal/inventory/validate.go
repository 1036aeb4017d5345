package inventory

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// maxNameBytes limits the names of servers, services and data centres. Every router
	// gets the whole list of servers in one message.
	maxNameBytes = 256
	// maxSlots limits the requests that one server runs at a time.
	maxSlots = 1 << 20
	// maxSequence is the largest integer that all JSON encoders write exactly.
	maxSequence = 1 << 53
	// maxBorn is in the year 2109, in Unix milliseconds. The clock is not read, since that of
	// this machine may be wrong as well.
	maxBorn = 1 << 42
	// maxColdTime is far above any cold start.
	maxColdTime = 24 * time.Hour
)

// Validate returns an error of kind bad-request if a field of the announcement has a value
// that no server has, or that cannot be passed on to the other processes.
func (s *Server) Validate() error {
	if err := ValidateName("server", s.ID); err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(s.Address)
	portNumber, portErr := strconv.ParseUint(port, 10, 16)
	ip, _ := netip.ParseAddr(host)
	cold := s.ColdUntil.Sub(s.LastSeen)
	switch {
	case !isName(s.Service):
		return s.invalid("service", s.Service)
	case !isName(s.DataCentre):
		return s.invalid("data centre", s.DataCentre)
	case s.Version != "" && !isName(s.Version):
		return s.invalid("version", s.Version)
	case !isName(s.Address) || strings.Contains(s.Address, " ") || err != nil || host == "" || ip.IsUnspecified() || portErr != nil || portNumber == 0:
		return s.invalid("address (host:port)", s.Address)
	case s.Slots <= 0 || s.Slots > maxSlots:
		return s.invalid("number of slots", strconv.Itoa(s.Slots))
	case s.Sequence > maxSequence:
		return s.invalid("sequence", strconv.FormatUint(s.Sequence, 10))
	case s.Born < 0 || s.Born > maxBorn:
		return s.invalid("start time", strconv.FormatInt(s.Born, 10))
	case !s.ColdUntil.IsZero() && (cold < 0 || cold > maxColdTime):
		return s.invalid("cold time", cold.String())
	}
	return nil
}

func (s *Server) invalid(field, value string) error {
	return errkind.New(errkind.BadRequest, "the announcement of %q has an invalid %s: %.64q", s.ID, field, value)
}

// ValidateLeave is Validate for the leave of a server; born is 0 if the server did not say.
func ValidateLeave(id string, born int64) error {
	if err := ValidateName("server", id); err != nil {
		return err
	}
	if born < 0 || born > maxBorn {
		return errkind.New(errkind.BadRequest, "the leave of %q has an invalid start time: %d", id, born)
	}
	return nil
}

// ValidateName returns an error of kind bad-request if name cannot be the name of an object.
func ValidateName(object, name string) error {
	if isName(name) {
		return nil
	}
	return errkind.New(errkind.BadRequest, "the name %.64q of a %s is empty, exceeds %d bytes, is not UTF-8 or has control characters", name, object, maxNameBytes)
}

// isName reports whether name can be passed on: in messages to other processes, whose texts
// are UTF-8, and in the headers of requests.
func isName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}
