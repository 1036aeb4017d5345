package control

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	granted    = controlpb.ClaimState_CLAIM_STATE_GRANTED
	inProgress = controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS
	completed  = controlpb.ClaimState_CLAIM_STATE_COMPLETED
	unknown    = controlpb.ClaimState_CLAIM_STATE_UNKNOWN
	conflict   = controlpb.ClaimState_CLAIM_STATE_KEY_CONFLICT
	tooLate    = controlpb.ClaimState_CLAIM_STATE_TOO_LATE
	released   = controlpb.ClaimState_CLAIM_STATE_UNSPECIFIED
)

func (s *State) applyCommand(t testing.TB, at int64, cmd *statepb.Command) result {
	t.Helper()
	data, err := encodeCommand(at, cmd)
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(data).(result)
}

func (s *State) applyChange(t testing.TB, at int64, req *controlpb.ApplyRequest) result {
	t.Helper()
	digest, resp, err := s.checkChange(req, noCheck)
	if resp != nil || err != nil {
		return result{msg: resp, err: err}
	}
	return s.applyCommand(t, at, &statepb.Command{Op: &statepb.Command_Change{Change: &statepb.Change{Request: req, Digest: digest}}})
}

func claimCmd(key, body, attempt string) *statepb.Command {
	return &statepb.Command{Op: &statepb.Command_Claim{Claim: &controlpb.ClaimRequest{
		Key: &controlpb.ClaimKey{Service: "s", Workspace: "w", IdempotencyKey: key}, BodyHash: []byte(body), AttemptId: attempt, RetentionMs: 1000, RunMs: 200,
	}}}
}

func settleCmd(key, attempt string, st controlpb.ClaimState) *statepb.Command {
	return &statepb.Command{Op: &statepb.Command_Settle{Settle: &controlpb.SettleRequest{
		Key: &controlpb.ClaimKey{Service: "s", Workspace: "w", IdempotencyKey: key}, AttemptId: attempt, State: st,
		Answer: &controlpb.RecordedAnswer{Status: 200, Body: []byte("answer of " + attempt)},
	}}}
}

// keyAt returns a version 7 UUID with the given timestamp in Unix ms.
func keyAt(ms int64) string {
	u := uuid.UUID{}
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8], u[15] = 0x70, 0x80, 1
	return u.String()
}

func TestClaims(t *testing.T) {
	type step struct {
		at   int64
		cmd  *statepb.Command
		want controlpb.ClaimState
		kind errkind.Kind
	}
	timestampedKey := keyAt(100)
	for name, steps := range map[string][]step{
		"resend of the same call":       {{0, claimCmd("k", "b", "1"), granted, ""}, {1, claimCmd("k", "b", "1"), granted, ""}},
		"another attempt while it runs": {{0, claimCmd("k", "b", "1"), granted, ""}, {1, claimCmd("k", "b", "2"), inProgress, ""}},
		"another body":                  {{0, claimCmd("k", "b", "1"), granted, ""}, {1, claimCmd("k", "c", "2"), conflict, ""}},
		"completed":                     {{0, claimCmd("k", "b", "1"), granted, ""}, {1, settleCmd("k", "1", completed), 0, ""}, {2, claimCmd("k", "b", "2"), completed, ""}, {3, claimCmd("k", "b", "1"), completed, ""}},
		"claim released":                {{0, claimCmd("k", "b", "1"), granted, ""}, {1, settleCmd("k", "1", released), 0, ""}, {2, claimCmd("k", "b", "2"), granted, ""}, {3, settleCmd("k", "1", completed), 0, errkind.KeyConflict}},
		"another attempt settles":       {{0, claimCmd("k", "b", "1"), granted, ""}, {1, settleCmd("k", "2", completed), 0, errkind.KeyConflict}, {2, claimCmd("k", "b", "3"), inProgress, ""}},
		"released after completion":     {{0, claimCmd("k", "b", "1"), granted, ""}, {1, settleCmd("k", "1", completed), 0, ""}, {2, settleCmd("k", "1", released), 0, errkind.KeyConflict}},
		"the router is lost":            {{0, claimCmd("k", "b", "1"), granted, ""}, {200, claimCmd("k", "b", "2"), unknown, ""}, {201, claimCmd("k", "b", "1"), unknown, ""}},
		"the router settles late":       {{0, claimCmd("k", "b", "1"), granted, ""}, {200, claimCmd("k", "b", "2"), unknown, ""}, {300, settleCmd("k", "1", completed), 0, ""}, {301, claimCmd("k", "b", "2"), completed, ""}},
		"expired key without timestamp": {{0, claimCmd("k", "b", "1"), granted, ""}, {1000, claimCmd("k", "b", "1"), tooLate, ""}, {1001, settleCmd("k", "1", completed), 0, errkind.NotFound}},
		"expired key with timestamp":    {{150, claimCmd(timestampedKey, "b", "1"), granted, ""}, {1150, claimCmd(timestampedKey, "b", "2"), tooLate, ""}, {1151, claimCmd(keyAt(99), "b", "3"), tooLate, ""}, {1152, claimCmd(keyAt(1000), "b", "4"), granted, ""}},
		"a clock that steps back":       {{500, claimCmd("k", "b", "1"), granted, ""}, {0, claimCmd("k", "b", "2"), inProgress, ""}, {700, claimCmd("k", "b", "2"), unknown, ""}, {0, claimCmd("k", "b", "2"), unknown, ""}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			for i, st := range steps {
				r := s.applyCommand(t, st.at, st.cmd)
				if got := errkind.Of(r.err); got != st.kind {
					t.Fatalf("step %d: error %v, want kind %q", i, r.err, st.kind)
				}
				if c, ok := r.msg.(*controlpb.ClaimResponse); ok && c.State != st.want {
					t.Fatalf("step %d: %v, want %v", i, c.State, st.want)
				}
			}
		})
	}
}

// TestRestoredStateIsEquivalent guards against replicas that diverge after a restart. It
// applies random commands to two states, one of which is restored from its snapshot now
// and then, and compares all results and the final snapshots.
func TestRestoredStateIsEquivalent(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		a, b := NewState(), NewState()
		limit := 5 + rng.IntN(30)
		a.claims.limit, b.claims.limit = limit, limit
		now := int64(0)
		for i := range 300 {
			now += int64(rng.IntN(40))
			cmd := randomCommand(rng, a)
			ra, rb := a.applyCommand(t, now, cmd), b.applyCommand(t, now, cmd)
			if !proto.Equal(ra.msg, rb.msg) || errkind.Of(ra.err) != errkind.Of(rb.err) {
				t.Fatalf("seed %d, command %d: %v %v and %v %v", seed, i, ra.msg, ra.err, rb.msg, rb.err)
			}
			if rng.IntN(30) == 0 {
				next := NewState()
				if err := next.Restore(bytes.NewReader(snapshotBytes(t, b))); err != nil {
					t.Fatal(err)
				}
				b = next
				b.claims.limit = limit
			}
		}
		if !bytes.Equal(snapshotBytes(t, a), snapshotBytes(t, b)) {
			t.Fatalf("seed %d: the states differ", seed)
		}
	}
}

func snapshotBytes(t testing.TB, s *State) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := s.Snapshot(&buf); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

func randomCommand(rng *rand.Rand, s *State) *statepb.Command {
	key, attempt := fmt.Sprint("k", rng.IntN(20)), fmt.Sprint("a", rng.IntN(3))
	if rng.IntN(2) == 0 {
		key = keyAt(int64(rng.IntN(3000)))
	}
	switch rng.IntN(4) {
	case 0:
		req := change(fmt.Sprint("change-", rng.IntN(40)), s.Newest().Revision.ToProto(), workspace(fmt.Sprint("w", rng.IntN(5)), fmt.Sprint(rng.IntN(9))))
		if rng.IntN(3) == 0 {
			req.Deletes = []*controlpb.ObjectKey{{Kind: config.KindWorkspace, Name: fmt.Sprint("w", rng.IntN(5))}}
			req.Upserts = nil
		}
		return &statepb.Command{Op: &statepb.Command_Change{Change: &statepb.Change{Request: req, Digest: s.digestAfter(req)}}}
	case 1:
		return settleCmd(key, attempt, controlpb.ClaimState(rng.IntN(7)))
	}
	return claimCmd(key, "b", attempt)
}

func TestChanges(t *testing.T) {
	s := NewState()
	base := initialRevision()
	for i := range 600 {
		r := s.applyChange(t, int64(i), change(fmt.Sprint("c", i), base, workspace(fmt.Sprint("w", i%7), fmt.Sprint(i))))
		if r.err != nil {
			t.Fatal(r.err)
		}
		base = r.msg.(*controlpb.ApplyResponse).Revision
	}
	late := change("late", &controlpb.Revision{Epoch: 1, Number: 599}, workspace("w1", "x"))
	if r := s.applyChange(t, 0, late); !errkind.Is(r.err, errkind.RevisionConflict) {
		t.Fatalf("a change with an old base revision: got %v, want kind revision-conflict", r.err)
	}
	if r := s.applyChange(t, 0, change("c5", base, workspace("w1", "x"))); !errkind.Is(r.err, errkind.ChangeConflict) {
		t.Fatalf("a change id used for two changes: got %v, want kind change-conflict", r.err)
	}
	got, err := s.Get(&controlpb.Revision{Epoch: 1, Number: 3})
	if err != nil || len(got.Objects) != 3 || string(got.Objects[2].Body) != string(workspace("w2", "2").Body) {
		t.Fatalf("Get of revision 3: %v, %v", got, err)
	}
	if _, err := s.Get(&controlpb.Revision{Epoch: 1, Number: 601}); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("Get of a future revision: got %v, want kind not-found", err)
	}
	unchecked := &statepb.Change{Request: change("u", base, workspace("w1", "x")), Digest: 1}
	if r := s.applyCommand(t, 0, &statepb.Command{Op: &statepb.Command_Change{Change: unchecked}}); !errkind.Is(r.err, errkind.PromiseBroken) {
		t.Fatalf("a change with a wrong digest: got %v, want kind promise-broken", r.err)
	}
	if h := s.History(&controlpb.HistoryRequest{Limit: 2}); len(h.Entries) != 2 || h.Entries[0].ChangeId != "c599" {
		t.Fatalf("history %v", h)
	}
}

func TestDamagedSnapshot(t *testing.T) {
	s := NewState()
	s.applyChange(t, 0, change("c", initialRevision(), workspace("w", "p")))
	data := snapshotBytes(t, s)
	for cut := range data {
		if err := NewState().Restore(bytes.NewReader(data[:cut])); err == nil {
			t.Fatalf("a snapshot truncated to %d of %d bytes was restored without an error", cut, len(data))
		}
	}
}

func TestNodes(t *testing.T) {
	n := newNodeTable()
	now := time.Unix(1000, 0)
	beat := func(name, inc string) error {
		return n.recordHeartbeat(&controlpb.NodeStatus{Name: name, Incarnation: inc}, now)
	}
	for _, inc := range []string{"1", "2", "1"} {
		if err := beat("r1", inc); err != nil {
			t.Fatal(err)
		}
	}
	if l := n.list(now); len(l) != 1 || l[0].Incarnation != "2" {
		t.Fatalf("a late heartbeat of the previous incarnation was not ignored: %v", l)
	}
	for i := range maxNodes {
		_ = beat(fmt.Sprint("n", i), "1")
	}
	if err := beat("one more", "1"); !errkind.Is(err, errkind.QueueFull) {
		t.Fatalf("heartbeat of node %d: got %v, want kind queue-full", maxNodes+1, err)
	}
	now = now.Add(nodeRetention + time.Second)
	if err := beat("one more", "1"); err != nil || len(n.list(now)) != 1 {
		t.Fatalf("silent nodes were not removed: %v", err)
	}
}

// TestClaimsAreBounded exceeds the limit of claim records. Settled records must be
// evicted and their keys refused from then on. Records in progress must not be evicted.
func TestClaimsAreBounded(t *testing.T) {
	const limit = 50
	s := NewState()
	s.claims.limit = limit
	key := func(i int64) string {
		if i%2 == 0 {
			return keyAt(i)
		}
		return fmt.Sprint("key-", i)
	}
	for i := range 5 {
		s.applyCommand(t, 0, claimCmd(fmt.Sprint("early-", i), "b", "a"))
	}
	for i := range int64(4 * limit) {
		if r := s.applyCommand(t, i, claimCmd(key(i), "b", "a")); r.err != nil {
			t.Fatalf("claim %d: %v", i, r.err)
		}
		s.applyCommand(t, i, settleCmd(key(i), "a", completed))
		if n := s.ClaimCount(); n > limit {
			t.Fatalf("%d records after claim %d exceed the limit", n, i)
		}
	}
	for i := range 5 {
		if got := s.applyCommand(t, 4*limit-1, claimCmd(fmt.Sprint("early-", i), "b", "b")).msg.(*controlpb.ClaimResponse).State; got != inProgress {
			t.Fatalf("a claim in progress was evicted: its state is %v", got)
		}
	}
	for i := range int64(4 * limit) {
		want := completed
		if i < 3*limit+5 {
			want = tooLate
		}
		if got := s.applyCommand(t, 4*limit, claimCmd(key(i), "b", "a")).msg.(*controlpb.ClaimResponse).State; got != want {
			t.Fatalf("resend of key %d of %d: state %v", i, 4*limit, got)
		}
	}
	for i := range int64(limit) {
		s.applyCommand(t, 4*limit, claimCmd(fmt.Sprint("running-", i), "b", "a"))
	}
	if r := s.applyCommand(t, 4*limit, claimCmd("one more", "b", "a")); !errkind.Is(r.err, errkind.QueueFull) {
		t.Fatalf("claim with %d others in progress: got %v, want kind queue-full", limit, r.err)
	}
}
