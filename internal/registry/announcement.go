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
	// reservedInNames separate the names within request ids and paths.
	reservedInNames = "~/?#%\\\""
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
	// ReadyMs is how long the server has been ready, in milliseconds; without it
	// a router counts from the first announcement that it has seen itself.
	ReadyMs uint64 `json:"readyMs,omitempty"`
}

var serverStates = map[string]grantpb.ServerState{
	"cold":    grantpb.ServerState_SERVER_STATE_COLD,
	"ready":   grantpb.ServerState_SERVER_STATE_READY,
	"leaving": grantpb.ServerState_SERVER_STATE_LEAVING,
}

// decode reads one announcement of bounded size. The error is of kind
// bad-request or too-large.
func decode(r io.Reader) (*Announcement, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxAnnounceBytes+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "read announcement")
	}
	if len(body) > maxAnnounceBytes {
		return nil, errkind.New(errkind.TooLarge, "announcement is over %d bytes", maxAnnounceBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	var a Announcement
	if err := dec.Decode(&a); err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "announcement is not the expected JSON")
	}
	if dec.More() {
		return nil, errkind.New(errkind.BadRequest, "announcement is followed by more data")
	}
	return &a, a.check()
}

func (a *Announcement) check() error {
	for _, f := range []struct{ field, value string }{
		{"name", a.Name},
		{"service", a.Service},
		{"dataCentre", a.DataCentre},
		{"incarnation", a.Incarnation},
	} {
		if err := checkName(f.field, f.value); err != nil {
			return err
		}
		if strings.ContainsAny(f.value, reservedInNames) {
			return errkind.New(errkind.BadRequest, "%s may not hold any of %s", f.field, reservedInNames)
		}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "address must be IP:port, not %q", clip(a.Address))
	}
	if _, ok := serverStates[a.State]; !ok {
		return errkind.New(errkind.BadRequest, "state must be cold, ready or leaving, not %q", clip(a.State))
	}
	if a.Capacity == 0 || a.Capacity > maxCapacity {
		return errkind.New(errkind.BadRequest, "capacity must be from 1 to %d, not %d", maxCapacity, a.Capacity)
	}
	if a.ColdCapacity > a.Capacity {
		return errkind.New(errkind.BadRequest, "coldCapacity %d is over capacity %d", a.ColdCapacity, a.Capacity)
	}
	if err := checkList("models", a.Models); err != nil {
		return err
	}
	return checkList("adapters", a.Adapters)
}

func checkList(field string, names []string) error {
	if len(names) > maxListEntries {
		return errkind.New(errkind.BadRequest, "%s has %d entries; at most %d", field, len(names), maxListEntries)
	}
	for _, n := range names {
		if err := checkName(field, n); err != nil {
			return err
		}
	}
	return nil
}

func checkName(field, s string) error {
	if s == "" || len(s) > maxNameBytes {
		return errkind.New(errkind.BadRequest, "%s must have 1 to %d bytes", field, maxNameBytes)
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return errkind.New(errkind.BadRequest, "%s must be printable ASCII without spaces", field)
		}
	}
	return nil
}

func clip(s string) string {
	return s[:min(len(s), maxNameBytes)]
}

// message returns the announcement as it travels between processes.
func (a *Announcement) message() *grantpb.Announcement {
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
