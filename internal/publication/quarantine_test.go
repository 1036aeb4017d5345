package publication

import (
	"slices"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/quarantine"
)

func TestQuarantinesAreAppliedAndKeptInSnapshots(t *testing.T) {
	s := &State{}
	for _, step := range []struct {
		q         Quarantined
		effective bool
		want      []Quarantined
	}{
		{Quarantined{Subject: quarantine.Subject{Hash: 5}, Strikes: 1}, true, []Quarantined{{Subject: quarantine.Subject{Hash: 5}, Strikes: 1}}},
		{Quarantined{Subject: quarantine.Subject{Hash: 5}, Strikes: 1}, false, []Quarantined{{Subject: quarantine.Subject{Hash: 5}, Strikes: 1}}},
		{Quarantined{Subject: quarantine.Subject{Hash: 3}, Strikes: 1}, true, []Quarantined{{Subject: quarantine.Subject{Hash: 3}, Strikes: 1}, {Subject: quarantine.Subject{Hash: 5}, Strikes: 1}}},
		{Quarantined{Subject: quarantine.Subject{Hash: 5}, Strikes: 1, Probe: "r"}, true, []Quarantined{{Subject: quarantine.Subject{Hash: 3}, Strikes: 1}, {Subject: quarantine.Subject{Hash: 5}, Strikes: 1, Probe: "r"}}},
		{Quarantined{Subject: quarantine.Subject{Hash: 3}}, true, []Quarantined{{Subject: quarantine.Subject{Hash: 5}, Strikes: 1, Probe: "r"}}},
		{Quarantined{Subject: quarantine.Subject{Hash: 2, Request: true}, Strikes: 1}, true, []Quarantined{{Subject: quarantine.Subject{Hash: 5}, Strikes: 1, Probe: "r"}, {Subject: quarantine.Subject{Hash: 2, Request: true}, Strikes: 1}}},
		{Quarantined{Subject: quarantine.Subject{Hash: 2}}, false, []Quarantined{{Subject: quarantine.Subject{Hash: 5}, Strikes: 1, Probe: "r"}, {Subject: quarantine.Subject{Hash: 2, Request: true}, Strikes: 1}}},
		{Quarantined{Subject: quarantine.Subject{Hash: 2, Request: true}}, true, []Quarantined{{Subject: quarantine.Subject{Hash: 5}, Strikes: 1, Probe: "r"}}},
		{Quarantined{Subject: quarantine.Subject{Hash: 2, Request: true}, Strikes: 1}, true, []Quarantined{{Subject: quarantine.Subject{Hash: 5}, Strikes: 1, Probe: "r"}, {Subject: quarantine.Subject{Hash: 2, Request: true}, Strikes: 1}}},
		{Quarantined{Subject: quarantine.Subject{Hash: 3}}, false, []Quarantined{{Subject: quarantine.Subject{Hash: 5}, Strikes: 1, Probe: "r"}, {Subject: quarantine.Subject{Hash: 2, Request: true}, Strikes: 1}}},
	} {
		next, err := s.Apply(QuarantineCommand(step.q))
		if err != nil {
			t.Fatal(err)
		}
		if effective := next != s; effective != step.effective || !slices.Equal(next.Quarantined, step.want) {
			t.Errorf("%+v: effective %v, state %v, want %v", step.q, effective, next.Quarantined, step.want)
		}
		s = next
	}
	encoded, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(encoded)
	if err != nil || !slices.Equal(decoded.Quarantined, s.Quarantined) {
		t.Errorf("decoded %v, %v, want %v", decoded, err, s.Quarantined)
	}
}
