package fleetview

import (
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
)

// The chosen router sends one request with a quarantined part, also if other changes come
// meanwhile. All other requests are refused.
func TestAQuarantineLetsOneProbeThrough(t *testing.T) {
	v := New(Options{RouterID: "r1"})
	install := func(parts ...publication.Quarantined) {
		v.snapshot.Store(&Snapshot{Quarantined: v.Snapshot().nextQuarantines(parts)})
	}
	refused := func(hashes ...uint64) bool { return v.Refuses(quarantine.DecodeSubjects(hashes, nil)) != nil }
	if refused(7) {
		t.Error("refused without a quarantine")
	}
	install(publication.Quarantined{Subject: quarantine.Subject{Hash: 7}, Strikes: 1})
	if !refused(7) || refused(8) {
		t.Error("not exactly the requests with the part are refused")
	}
	install(publication.Quarantined{Subject: quarantine.Subject{Hash: 7}, Strikes: 1, Probe: "r2"})
	if !refused(7) {
		t.Error("another router's probe was sent")
	}
	probing := publication.Quarantined{Subject: quarantine.Subject{Hash: 7}, Strikes: 1, Probe: "r1"}
	install(probing, publication.Quarantined{Subject: quarantine.Subject{Hash: 9}, Strikes: 1})
	if !refused(7, 9) || !refused(9, 7) {
		t.Error("a probe with another quarantined part was sent")
	}
	if refused(7) {
		t.Error("the probe was refused")
	}
	install(probing)
	if !refused(7) {
		t.Error("a second probe was sent after another change")
	}
}
