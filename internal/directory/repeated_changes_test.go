package directory

import (
	"context"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Guards against a directory that stays busy with changes that callers repeat, since they got no answer
// in time: each was replicated whole once more, though it is in force or a higher version is. It
// must be acknowledged without, also where no quorum is left. A new change still needs one.
func TestARepeatedChangeIsNotReplicatedAgain(t *testing.T) {
	c := newCluster(t, 3)
	for _, h := range hosts[:3] {
		c.publish(h, 4, "four")
	}
	c.publish(hosts[1], 5, "five")
	c.awaitDocument(hosts[0], "five")
	c.stop(hosts[1], hosts[2])
	p := c.nodes[hosts[0]].p
	before := p.group.Status().LastIndex
	for version, document := range map[uint64]string{4: "four", 5: "five", 3: "three"} {
		if err := p.Publish(context.Background(), version, []byte(document)); err != nil {
			t.Errorf("version %d, with 5 in force: %v", version, err)
		}
	}
	if after := p.group.Status().LastIndex; after != before {
		t.Errorf("repeated changes took the log from %d to %d entries", before, after)
	}
	if err := p.Publish(context.Background(), 6, []byte("six")); err == nil || errkind.Of(err) == errkind.BadRequest {
		t.Errorf("a new change without a quorum: %v", err)
	}
	if got := string(p.machine.State().Configuration.Document); got != "five" {
		t.Errorf("%q is in force, want %q", got, "five")
	}
}
