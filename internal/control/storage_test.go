package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/replication"
	"github.com/kumquathollow/kumquathollow/internal/storage"
)

// stateWith returns a state with a workspace for each change, and claims, of which each second one is settled.
func stateWith(t *testing.T, changes, claims int) *State {
	t.Helper()
	s := NewState()
	for i := range changes {
		s.applyChange(t, int64(i), change(fmt.Sprint("c", i), s.Newest().Revision.ToProto(), workspace(fmt.Sprint("w", i), strings.Repeat("p", 900))))
	}
	for i := range claims {
		key := keyAt(int64(i))
		s.applyCommand(t, int64(i), claimCmd(key, "body", "attempt"))
		if i%2 == 0 {
			s.applyCommand(t, int64(i), settleCmd(key, "attempt", controlpb.ClaimState_CLAIM_STATE_COMPLETED))
		}
	}
	return s
}

// Guards against a control group whose state and claims cannot be restored from a sound folder. State and
// storage are the real ones: at a start, at a follower that gets the snapshot, and for a snapshot that kqctl has saved.
func TestTheStateAndItsClaimsAreRestoredFromTheStorage(t *testing.T) {
	for _, size := range [][2]int{{0, 0}, {1, 0}, {0, 1}, {3, 50}, {140, 100}, {290, 300}, {600, 900}} {
		t.Run(fmt.Sprintf("changes=%d,claims=%d", size[0], size[1]), func(t *testing.T) {
			want := stateWith(t, size[0], size[1])
			fs := vfs.NewMem()
			s, _, err := storage.Open(fs, "data", "c1")
			if err != nil {
				t.Fatal(err)
			}
			if err := s.SaveSnapshot(&pb.SnapshotMeta{Index: 9, Term: 2, Voters: &pb.VoterSet{}}, want.Snapshot); err != nil {
				t.Fatal(err)
			}
			f, _, err := s.OpenSnapshot()
			if err != nil {
				t.Fatal(err)
			}
			saved, err := io.ReadAll(f)
			if err != nil {
				t.Fatal(err)
			}
			follower, _, err := storage.Open(vfs.NewMem(), "data", "c2")
			if err != nil {
				t.Fatal(err)
			}
			// The file system in memory changes what it is given under the race detector.
			r, err := follower.ReceiveSnapshot(func(w io.Writer) error { _, err := w.Write(bytes.Clone(saved)); return err })
			if err == nil {
				err = follower.InstallSnapshot(r)
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			again, _, err := storage.Open(fs, "data", "c1")
			if err != nil {
				t.Fatal(err)
			}
			for who, s := range map[string]*storage.Store{"a start": again, "a follower": follower} {
				got := NewState()
				if _, err := s.LoadSnapshot(got.Restore); err != nil {
					t.Errorf("%s: %v", who, err)
				} else if !bytes.Equal(snapshotBytes(t, got), snapshotBytes(t, want)) {
					t.Errorf("%s restored another state", who)
				}
			}
			summary, err := Inspect(bytes.NewReader(saved))
			if err != nil || summary.Changes != size[0] || summary.Claims != len(want.claims.byKey) {
				t.Errorf("inspected: %+v: %v", summary, err)
			}
			conf := &Settings{Node: "c1", Address: "127.0.0.1:1", Data: filepath.Join(t.TempDir(), "data")}
			file := filepath.Join(t.TempDir(), "saved")
			if err := os.WriteFile(file, saved, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := RestoreFile(vfs.Default, conf, file, time.Now()); err != nil {
				t.Fatalf("restore of a saved snapshot: %v", err)
			}
			restored, _, err := storage.Open(vfs.Default, conf.Data, "c1")
			if err != nil {
				t.Fatal(err)
			}
			defer restored.Close()
			got := NewState()
			if _, err := restored.LoadSnapshot(got.Restore); err != nil || len(got.objects) != size[0] || len(got.claims.byKey) != len(want.claims.byKey) {
				t.Errorf("a restored group starts with %d objects and %d claims: %v", len(got.objects), len(got.claims.byKey), err)
			}
		})
	}
}

// Guards against voters that cannot start again, or cannot follow, once their log begins with a snapshot: real
// processes with short logs, of which one is sent a snapshot after its disk was emptied.
func TestProcessesStartAndFollowFromSnapshots(t *testing.T) {
	c := newCluster(t, 3, func(o *replication.Options) {
		shortElectionTimeouts(o)
		o.SnapshotEntries, o.CatchUpEntries = 10, 1
	})
	base := initialRevision()
	publish := func(from, to int) {
		for i := from; i < to; i++ {
			base = c.apply(0, change(fmt.Sprint("c", i), base, workspace(fmt.Sprint("w", i), "p"))).Revision
		}
	}
	claim := func(i int) *controlpb.ClaimResponse {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		for {
			r, err := c.client(i).Claim(ctx, &controlpb.ClaimRequest{
				Key: &controlpb.ClaimKey{Service: "s", Workspace: "w", IdempotencyKey: "k"}, BodyHash: []byte("body"), AttemptId: "attempt",
				RetentionMs: uint64(time.Hour.Milliseconds()), RunMs: uint64(time.Hour.Milliseconds()),
			})
			if err == nil {
				return r
			}
			if ctx.Err() != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	publish(0, 30)
	first := claim(0)
	for i := range c.procs {
		c.kill(i)
	}
	for i := range c.procs {
		c.start(i, nil)
	}
	publish(30, 45)
	if again := claim(1); again.State != first.State || again.Fence != first.Fence {
		t.Errorf("the claim is %v after the restart, %v before", again, first)
	}
	id := c.confs[2].Node
	c.kill(2)
	if err := os.RemoveAll(c.confs[2].Data); err != nil {
		t.Fatal(err)
	}
	c.changeVoter(0, &controlpb.ChangeVoterRequest{Id: id})
	c.start(2, nil)
	c.changeVoter(0, &controlpb.ChangeVoterRequest{Add: true, Id: id, Address: c.confs[2].Address})
	c.kill(1)
	publish(45, 60)
	if got := len(c.newest(2).Objects); got != 60 {
		t.Errorf("the process that was sent a snapshot has %d objects, want 60", got)
	}
}
