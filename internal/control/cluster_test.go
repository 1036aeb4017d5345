package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// waitTimeout limits every wait for a process.
const waitTimeout = 30 * time.Second

// cluster is a control group whose processes all run in the test process and
// communicate over the loopback interface.
type cluster struct {
	t         testing.TB
	confs     []*Settings
	procs     []*runningProcess
	dialer    *rpc.Dialer
	configure func(*replication.Options)
	// transferTimeout is negative by default: processes stop as in a crash.
	transferTimeout time.Duration
}

type runningProcess struct {
	p    *Process
	stop context.CancelFunc
	done chan error
}

func newCluster(t testing.TB, n int, opt func(*replication.Options)) *cluster {
	t.Helper()
	c := &cluster{t: t, dialer: rpc.NewDialer(nil), configure: opt, transferTimeout: -1}
	data := t.TempDir()
	// Registered after TempDir, so that the processes stop before their folders are
	// removed.
	t.Cleanup(c.close)
	var voters []VoterSetting
	var listeners []net.Listener
	for i := range n {
		l := listen(t, "127.0.0.1:0")
		listeners = append(listeners, l)
		voters = append(voters, VoterSetting{ID: fmt.Sprintf("c%d", i+1), Address: l.Addr().String()})
	}
	for i, v := range voters {
		c.confs = append(c.confs, &Settings{
			Node: v.ID, DataCentre: "dc", Address: v.Address, Admin: "127.0.0.1:0",
			Data: filepath.Join(data, v.ID), Voters: voters,
		})
		c.procs = append(c.procs, nil)
		c.start(i, listeners[i])
	}
	return c
}

func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for {
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return l
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func noCheck(_, _ *config.Set) error { return nil }

func (c *cluster) start(i int, l net.Listener) {
	c.t.Helper()
	if l == nil {
		l = listen(c.t, c.confs[i].Address)
	}
	p, err := Open(vfs.Default, c.confs[i], hclog.NewNullLogger(), Options{FleetListener: l, Check: noCheck, TransferTimeout: c.transferTimeout, ConfigureReplication: c.configure})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningProcess{p: p, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- p.Run(ctx) }()
	c.procs[i] = r
}

func (c *cluster) kill(i int) {
	if r := c.procs[i]; r != nil {
		r.stop()
		if err := <-r.done; err != nil {
			c.t.Error(err)
		}
		c.procs[i] = nil
	}
}

func (c *cluster) close() {
	for i := range c.procs {
		c.kill(i)
	}
	_ = c.dialer.Close()
}

func (c *cluster) client(i int) controlpb.DRPCControlClient {
	return controlpb.NewDRPCControlClient(c.dialer.Conn(context.Background(), c.confs[i].Address))
}

// leader waits until a running process is the leader and returns its index.
func (c *cluster) leader() int {
	c.t.Helper()
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		for i, r := range c.procs {
			if r != nil && r.p.group.Status().Leading {
				return i
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return 0
}

func workspace(name, policy string) *controlpb.Object {
	return &controlpb.Object{Kind: config.KindWorkspace, Name: name, Body: fmt.Appendf(nil, `{"name":%q,"policy":%q}`, name, policy)}
}

func change(id string, base *controlpb.Revision, objs ...*controlpb.Object) *controlpb.ApplyRequest {
	return &controlpb.ApplyRequest{ChangeId: id, Base: base, Upserts: objs, Action: "apply"}
}

// apply resends a change until its acceptance is confirmed.
func (c *cluster) apply(i int, req *controlpb.ApplyRequest) *controlpb.ApplyResponse {
	c.t.Helper()
	end := time.Now().Add(waitTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		resp, err := c.client(i).Apply(ctx, req)
		cancel()
		if err == nil {
			return resp
		}
		if k := errkind.Of(err); k == errkind.RevisionConflict || k == errkind.ChangeConflict || time.Now().After(end) {
			c.t.Fatal(err)
		}
	}
}

func (c *cluster) newest(i int) *controlpb.GetResponse {
	c.t.Helper()
	end := time.Now().Add(waitTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		resp, err := c.client(i).Get(ctx, &controlpb.GetRequest{})
		cancel()
		if err == nil {
			return resp
		}
		if time.Now().After(end) {
			c.t.Fatal(err)
		}
	}
}

func initialRevision() *controlpb.Revision { return &controlpb.Revision{Epoch: 1} }

// TestResendThroughAnotherProcess guards against a change being accepted twice. It
// resends a change through another process after the leader that accepted it was killed,
// and again after all processes were restarted.
func TestResendThroughAnotherProcess(t *testing.T) {
	c := newCluster(t, 3, nil)
	l := c.leader()
	other := (l + 1) % 3
	req := change("change-1", initialRevision(), workspace("w", "p"))
	first := c.apply(other, req)
	c.kill(l)
	again := c.apply((l+2)%3, req)
	if !again.RepeatedChange || again.Revision.Number != first.Revision.Number {
		t.Fatalf("the response to the resend is %v, the first one was %v", again, first)
	}
	second := c.apply(other, change("change-2", first.Revision, workspace("w", "q")))
	c.start(l, nil)
	for i := range c.procs {
		c.kill(i)
	}
	for i := range c.procs {
		c.start(i, nil)
	}
	got := c.newest(l)
	if got.Revision.Number != second.Revision.Number || len(got.Objects) != 1 {
		t.Fatalf("configuration after the restart of all processes: %v", got)
	}
	if r := c.apply(l, req); !r.RepeatedChange || r.Revision.Number != first.Revision.Number {
		t.Fatalf("the response to the resend after the restart is %v", r)
	}
}

// TestReplaceWipedVoter wipes the disk of a voter, removes the voter and adds it again.
// Then it kills another voter, so that the replaced one is needed for a majority.
func TestReplaceWipedVoter(t *testing.T) {
	c := newCluster(t, 3, func(o *replication.Options) { o.SnapshotEntries, o.CatchUpEntries = 10, 3 })
	base := initialRevision()
	for i := range 30 {
		base = c.apply(0, change(fmt.Sprint("change-", i), base, workspace(fmt.Sprint("w", i), "p"))).Revision
	}
	l := c.leader()
	lost := (l + 1) % 3
	c.kill(lost)
	if err := os.RemoveAll(c.confs[lost].Data); err != nil {
		t.Fatal(err)
	}
	c.start(lost, nil)
	base = c.apply(l, change("without", base, workspace("x", "p"))).Revision
	if s := c.procs[lost].p.group.Status(); s.LastIndex != 0 {
		t.Fatalf("the voter with the wiped disk received log entries before it was added again: %+v", s)
	}
	id, addr := c.confs[lost].Node, c.confs[lost].Address
	c.changeVoter(l, &controlpb.ChangeVoterRequest{Id: id})
	c.changeVoter(l, &controlpb.ChangeVoterRequest{Add: true, Id: id, Address: addr})
	c.kill((l + 2) % 3)
	base = c.apply(l, change("second-loss", base, workspace("y", "p"))).Revision
	c.kill(l)
	c.start((l+2)%3, nil)
	if got := c.newest(lost); got.Revision.Number != base.Number {
		t.Fatalf("after both losses the newest revision is %v, accepted was %v", got.Revision, base)
	}
}

func (c *cluster) changeVoter(i int, req *controlpb.ChangeVoterRequest) {
	c.t.Helper()
	end := time.Now().Add(waitTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := c.client(i).ChangeVoter(ctx, req)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			c.t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRestore starts a new group, in a new epoch, from a saved snapshot.
func TestRestore(t *testing.T) {
	c := newCluster(t, 1, nil)
	rev := c.apply(0, change("change-1", initialRevision(), workspace("w", "p"))).Revision
	file := filepath.Join(t.TempDir(), "saved")
	c.save(0, file)
	conf := *c.confs[0]
	if _, err := RestoreFile(vfs.Default, &conf, file, time.Now()); !errkind.Is(err, errkind.WrongDisk) {
		t.Fatalf("restore to a folder that is not empty: got %v, want kind wrong-disk", err)
	}
	c.kill(0)
	conf.Data = filepath.Join(t.TempDir(), "new")
	at, err := RestoreFile(vfs.Default, &conf, file, time.Now())
	if err != nil || at.Epoch <= rev.Epoch {
		t.Fatalf("restored at revision %v: %v", at, err)
	}
	c.confs[0] = &conf
	c.start(0, nil)
	got := c.newest(0)
	if config.RevisionFromProto(got.Revision) != at || len(got.Objects) != 1 {
		t.Fatalf("configuration after the restore: %v", got)
	}
	if r := c.apply(0, change("change-1", initialRevision(), workspace("w", "p"))); !r.RepeatedChange {
		t.Fatal("a change id is not known after the restore")
	}
}

func (c *cluster) save(i int, file string) {
	c.t.Helper()
	c.newest(i)
	stream, err := c.client(i).SaveSnapshot(context.Background(), &controlpb.SaveSnapshotRequest{})
	if err != nil {
		c.t.Fatal(err)
	}
	defer stream.Close()
	var data []byte
	for {
		chunk, err := stream.Recv()
		if err != nil {
			break
		}
		data = append(data, chunk.Data...)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// TestLostQuorum checks that nothing is accepted without a majority, and that the error
// says whether this is certain. When there is a majority again, a resend with the same
// change id shows the outcome.
func TestLostQuorum(t *testing.T) {
	c := newCluster(t, 3, shortElectionTimeouts)
	base := c.apply(0, change("before", initialRevision(), workspace("w", "p"))).Revision
	l := c.leader()
	c.kill((l + 1) % 3)
	c.kill((l + 2) % 3)
	req := change("without", base, workspace("w", "q"))
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	_, err := c.client(l).Apply(ctx, req)
	switch k := errkind.Of(err); k {
	case errkind.NoQuorum, errkind.NotLeader, errkind.ChangeUnknown:
	default:
		t.Fatalf("Apply without a majority: %v", err)
	}
	if _, err := c.client(l).Get(ctx, &controlpb.GetRequest{}); err == nil {
		t.Fatal("a read succeeded without a majority")
	}
	c.start((l+1)%3, nil)
	resp := c.apply((l+1)%3, req)
	if resp.Revision.Number != base.Number+1 {
		t.Fatalf("the change was accepted at revision %v, base %v", resp.Revision, base)
	}
}

// TestConcurrentChangesFromOneRevision sends three changes with the same base revision
// at once: one is accepted and the others fail with a revision conflict.
func TestConcurrentChangesFromOneRevision(t *testing.T) {
	c := newCluster(t, 3, nil)
	base := c.apply(0, change("first", initialRevision(), workspace("w", "p"))).Revision
	errs := make(chan error, 3)
	for i := range 3 {
		go func() {
			_, err := c.client(i).Apply(context.Background(), change(fmt.Sprint("operator-", i), base, workspace("w", fmt.Sprint(i))))
			errs <- err
		}()
	}
	accepted, conflicts := 0, 0
	for range 3 {
		switch err := <-errs; {
		case err == nil:
			accepted++
		case errkind.Is(err, errkind.RevisionConflict):
			conflicts++
		default:
			t.Error(err)
		}
	}
	if accepted != 1 || conflicts != 2 {
		t.Fatalf("%d changes accepted and %d conflicts, want 1 and 2", accepted, conflicts)
	}
}

// slowCandidates blocks a process, while armed, each time that it logs a new term. That
// is after a candidate has asked for votes and before it reads the replies.
type slowCandidates struct{ armed atomic.Bool }

// Accept implements hclog.SinkAdapter.
func (s *slowCandidates) Accept(_ string, _ hclog.Level, msg string, _ ...any) {
	if s.armed.Load() && msg == "leadership" {
		time.Sleep(200 * time.Millisecond)
	}
}

// TestHandOverWaitsForTheSuccessor guards against a leader that stops with its vote for
// its successor still in its send queue. If the third voter is down or has just started,
// the successor then loses its election, and the group has no leader for an election
// timeout.
func TestHandOverWaitsForTheSuccessor(t *testing.T) {
	slow := &slowCandidates{}
	c := newCluster(t, 3, func(o *replication.Options) {
		log := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: io.Discard})
		log.RegisterSink(slow)
		o.Log = log
	})
	l := c.leader()
	c.apply(l, change("change-1", initialRevision(), workspace("w", "1")))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	group := c.procs[l].p.group
	slow.armed.Store(true)
	group.TransferLeadership(ctx)
	if s := group.Status(); s.Leading || s.Leader == "" {
		t.Errorf("the transfer ended with leading %v and leader %q, want another process as the leader", s.Leading, s.Leader)
	}
	slow.armed.Store(false)
}

// TestHandOver checks that a leader transfers leadership before it stops, so that a
// rolling restart does not wait for an election timeout.
func TestHandOver(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.transferTimeout = waitTimeout
	for _, r := range c.procs {
		r.p.transferTimeout = waitTimeout
	}
	base := initialRevision()
	for i := range 3 {
		base = c.apply(i, change(fmt.Sprint("change-", i), base, workspace("w", fmt.Sprint(i)))).Revision
		l := c.leader()
		term := c.procs[l].p.group.Status().Term
		c.kill(l)
		next := c.leader()
		if got := c.procs[next].p.group.Status().Term; got != term+1 {
			t.Fatalf("term %d after %d: leadership was not handed over", got, term)
		}
		c.start(l, nil)
	}
	if got := c.newest(0).Revision.Number; got != 3 {
		t.Fatalf("revision %d after 3 changes", got)
	}
}
