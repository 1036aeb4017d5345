package registry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"strings"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	maxAnnounceBytes = 64 << 10
	maxNameBytes     = 128
	maxListEntries   = 256
	maxCapacity      = 1 << 20
	// reservedNameChars are the separators used in request ids and paths, so a name
	// must not contain them.
	reservedNameChars = "~/?#%\\\""
)

// Announcement is the JSON body of POST /v1/announce.
type Announcement struct {
	Name         string   `json:"name"`
	Service      string   `json:"service"`
	DataCentre   string   `json:"dataCentre"`
	Address      string   `json:"address"`
	Incarnation  string   `json:"incarnation"`
	State        string   `json:"state"`
	Capacity     uint32   `json:"capacity"`
	ColdCapacity uint32   `json:"coldCapacity"`
	Models       []string `json:"models,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Running      uint32   `json:"running"`
	Queued       uint32   `json:"queued"`
	// MeasuredMsAgo is the age of the load figures in milliseconds.
	MeasuredMsAgo uint32 `json:"measuredMsAgo"`
	Sequence      uint64 `json:"sequence"`
	ChecksFence   bool   `json:"checksFence,omitempty"`
	CacheTokens   uint32 `json:"cacheTokens,omitempty"`
	// ReadyMs is how long the server has been ready, in milliseconds. If it is
	// missing, a router counts from the first announcement that it received itself.
	ReadyMs uint64 `json:"readyMs,omitempty"`
}

var serverStates = map[string]grantpb.ServerState{
	"cold":    grantpb.ServerState_SERVER_STATE_COLD,
	"ready":   grantpb.ServerState_SERVER_STATE_READY,
	"leaving": grantpb.ServerState_SERVER_STATE_LEAVING,
}

// decode reads and validates one announcement of at most maxAnnounceBytes. The
// error is of kind bad-request or too-large.
func decode(r io.Reader) (*Announcement, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxAnnounceBytes+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "read the announcement's body")
	}
	if len(body) > maxAnnounceBytes {
		return nil, errkind.New(errkind.TooLarge, "announcement exceeds %d bytes", maxAnnounceBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	var a Announcement
	if err := dec.Decode(&a); err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "announcement is not valid JSON of the expected form")
	}
	if dec.More() {
		return nil, errkind.New(errkind.BadRequest, "announcement is followed by more data")
	}
	return &a, a.validate()
}

func (a *Announcement) validate() error {
	for _, f := range []struct{ field, value string }{
		{"name", a.Name},
		{"service", a.Service},
		{"dataCentre", a.DataCentre},
		{"incarnation", a.Incarnation},
	} {
		if err := validateName(f.field, f.value); err != nil {
			return err
		}
		if strings.ContainsAny(f.value, reservedNameChars) {
			return errkind.New(errkind.BadRequest, "%s must not contain any of %s", f.field, reservedNameChars)
		}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "address must be IP:port, not %q", truncate(a.Address))
	}
	if _, ok := serverStates[a.State]; !ok {
		return errkind.New(errkind.BadRequest, "state must be cold, ready or leaving, not %q", truncate(a.State))
	}
	if a.Capacity == 0 || a.Capacity > maxCapacity {
		return errkind.New(errkind.BadRequest, "capacity must be from 1 to %d, not %d", maxCapacity, a.Capacity)
	}
	if a.ColdCapacity > a.Capacity {
		return errkind.New(errkind.BadRequest, "coldCapacity %d exceeds capacity %d", a.ColdCapacity, a.Capacity)
	}
	if err := validateNames("models", a.Models); err != nil {
		return err
	}
	return validateNames("adapters", a.Adapters)
}

func validateNames(field string, names []string) error {
	if len(names) > maxListEntries {
		return errkind.New(errkind.BadRequest, "%s has %d entries; the limit is %d", field, len(names), maxListEntries)
	}
	for _, n := range names {
		if err := validateName(field, n); err != nil {
			return err
		}
	}
	return nil
}

func validateName(field, s string) error {
	if s == "" || len(s) > maxNameBytes {
		return errkind.New(errkind.BadRequest, "%s must be 1 to %d bytes long", field, maxNameBytes)
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return errkind.New(errkind.BadRequest, "%s must consist of printable ASCII without spaces", field)
		}
	}
	return nil
}

func truncate(s string) string {
	return s[:min(len(s), maxNameBytes)]
}

// toProto returns the announcement as a message for the grantor.
func (a *Announcement) toProto() *grantpb.Announcement {
	return &grantpb.Announcement{
		Name:          a.Name,
		Service:       a.Service,
		DataCentre:    a.DataCentre,
		Address:       a.Address,
		Incarnation:   a.Incarnation,
		State:         serverStates[a.State],
		Capacity:      a.Capacity,
		ColdCapacity:  a.ColdCapacity,
		Models:        a.Models,
		Adapters:      a.Adapters,
		Running:       a.Running,
		Queued:        a.Queued,
		MeasuredMsAgo: a.MeasuredMsAgo,
		Sequence:      a.Sequence,
		ChecksFence:   a.ChecksFence,
		CacheTokens:   a.CacheTokens,
		ReadyMs:       a.ReadyMs,
	}
}
