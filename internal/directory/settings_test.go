package directory

import (
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

func validSettings() *Settings {
	return &Settings{
		Name: "d", DataCentre: "a", Operations: "127.0.0.1:0", Fleet: "127.0.0.1:0", Admin: "127.0.0.1:0", Data: "data",
		Seeds: []string{"127.0.0.1:1", "127.0.0.2:1"},
	}
}

// Behind a proxy, a process is a voter under its configured fleet address and reaches
// the seeds at the port of that address.
func TestTheConfiguredFleetAddressIsAdvertised(t *testing.T) {
	s := validSettings()
	s.FleetAddress = "127.0.0.1:4711"
	p, err := Open(vfs.NewMem(), s, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.close() }()
	if p.voterManager().address != s.FleetAddress || p.group.Status().ID != s.FleetAddress {
		t.Errorf("address %q, voter %q", p.voterManager().address, p.group.Status().ID)
	}
	if got := p.fleetAddresses(s.Seeds); len(got) != 2 || got[1] != "127.0.0.2:4711" {
		t.Errorf("seeds at %v", got)
	}
}

func TestSettingsOfADirectoryAreChecked(t *testing.T) {
	if err := validSettings().check(); err != nil {
		t.Fatal(err)
	}
	for name, invalidate := range map[string]func(*Settings){
		"name":                func(s *Settings) { s.Name = "" },
		"data":                func(s *Settings) { s.Data = "" },
		`address "127.0.0.1"`: func(s *Settings) { s.Operations = "127.0.0.1" },
		"4711x":               func(s *Settings) { s.FleetAddress = "4711x" },
		"seeds":               func(s *Settings) { s.Seeds = nil },
		"toleratedLosses":     func(s *Settings) { s.ToleratedLosses = -1 },
		"seed-1":              func(s *Settings) { s.Seeds = []string{"seed-1"} },
	} {
		s := validSettings()
		invalidate(s)
		if err := s.check(); !errkind.Is(err, errkind.InvalidSettings) || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
