package errkind

import (
	"testing"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"
)

func TestTableIsOneToOne(t *testing.T) {
	codes := map[uint64]Kind{}
	kinds := map[Kind]bool{}
	for _, r := range Table {
		if kinds[r.Kind] {
			t.Errorf("kind %s has two rows", r.Kind)
		}
		if other, ok := codes[r.Code]; ok {
			t.Errorf("kinds %s and %s share code %d", other, r.Kind, r.Code)
		}
		if r.Code == 0 || r.Status == 0 || r.Meaning == "" {
			t.Errorf("kind %s has an incomplete row", r.Kind)
		}
		kinds[r.Kind], codes[r.Code] = true, r.Kind
	}
}

func TestOfHandlesWrappedAndDRPCErrors(t *testing.T) {
	err := New(KeyConflict, "key %q", "a")
	for _, tc := range []struct {
		name string
		err  error
		want Kind
	}{
		{"nil", nil, ""},
		{"plain", errors.New("x"), Internal},
		{"direct", err, KeyConflict},
		{"wrapped", errors.Wrap(err, "outer"), KeyConflict},
		{"drpc", drpcerr.WithCode(errors.New("x"), Lookup(KeyConflict).Code), KeyConflict},
	} {
		if got := Of(tc.err); got != tc.want {
			t.Errorf("%s: Of = %q, want %q", tc.name, got, tc.want)
		}
	}
}
