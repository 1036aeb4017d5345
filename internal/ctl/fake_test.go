package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// fakeControl is a control group of one process, with fault injection.
type fakeControl struct {
	controlpb.DRPCControlUnimplementedServer

	mu      sync.Mutex
	sets    []*config.Set
	changes map[string]*controlpb.ApplyResponse
	entries []*controlpb.AuditEntry
	nodes   []*controlpb.NodeStatus
	// noQuorum makes Status report that the group has no leader.
	noQuorum bool
	// applies counts the calls of Apply.
	applies int
	// before and after run before and after a change is accepted, with the number
	// of the call. An error is returned to the client; lostConn ends the call
	// without a response.
	before, after func(n int) error
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		sets:    []*config.Set{config.NewSet(config.Revision{Epoch: 1, Number: 1})},
		changes: map[string]*controlpb.ApplyResponse{},
	}
}

func (f *fakeControl) newestConfig() *config.Set { return f.sets[len(f.sets)-1] }

func (f *fakeControl) Get(_ context.Context, req *controlpb.GetRequest) (*controlpb.GetResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sets {
		if req.At == nil && s != f.newestConfig() || req.At != nil && s.Revision != config.RevisionFromProto(req.At) {
			continue
		}
		objs, err := s.Objects()
		return &controlpb.GetResponse{Revision: s.Revision.ToProto(), Objects: objs}, err
	}
	return nil, errkind.New(errkind.NotFound, "no such revision")
}

func (f *fakeControl) Apply(_ context.Context, req *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applies++
	if f.before != nil {
		if err := f.before(f.applies); err != nil {
			return nil, err
		}
	}
	res, err := f.accept(req)
	if err == nil && f.after != nil {
		err = f.after(f.applies)
	}
	return res, err
}

func (f *fakeControl) accept(req *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	if res, ok := f.changes[req.ChangeId]; ok {
		return &controlpb.ApplyResponse{Revision: res.Revision, RepeatedChange: true}, nil
	}
	base := f.newestConfig()
	if base.Revision != config.RevisionFromProto(req.Base) {
		return nil, errkind.New(errkind.RevisionConflict, "the newest revision is another")
	}
	rev := config.Revision{Epoch: 1, Number: base.Revision.Number + 1}
	next, err := base.Apply(rev, req.Upserts, req.Deletes)
	if err != nil {
		return nil, err
	}
	f.sets = append(f.sets, next)
	f.entries = append([]*controlpb.AuditEntry{{Revision: rev.ToProto(), Base: req.Base, ChangeId: req.ChangeId, Action: req.Action, Comment: req.Comment}}, f.entries...)
	f.changes[req.ChangeId] = &controlpb.ApplyResponse{Revision: rev.ToProto()}
	return f.changes[req.ChangeId], nil
}

func (f *fakeControl) History(_ context.Context, req *controlpb.HistoryRequest) (*controlpb.HistoryResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	res := &controlpb.HistoryResponse{}
	for _, e := range f.entries {
		if req.Before != nil && !config.RevisionFromProto(e.Revision).Less(config.RevisionFromProto(req.Before)) {
			continue
		}
		if len(res.Entries) < int(req.Limit) {
			res.Entries = append(res.Entries, e)
		}
	}
	return res, nil
}

func (f *fakeControl) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &controlpb.StatusResponse{Revision: f.newestConfig().Revision.ToProto(), Leader: "c1", Nodes: f.nodes, Quorum: !f.noQuorum}, nil
}

// lostConn is an error on which the fake's server closes the connection.
type lostConn struct{}

func (lostConn) Error() string { return "connection closed by the test" }

// harness runs kqctl against a fake control process.
type harness struct {
	*fakeControl
	t     *testing.T
	dir   string
	flags []string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{fakeControl: newFakeControl(), t: t, dir: t.TempDir()}
	mux := drpcmux.New()
	if err := controlpb.DRPCRegisterControl(mux, h); err != nil {
		t.Fatal(err)
	}
	l, err := rpc.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = rpc.Serve(ctx, l, mux) }()
	t.Cleanup(func() { cancel(); <-done })
	h.flags = []string{"--control", l.Addr().String(), "--state", filepath.Join(h.dir, "state"), "--timeout", "20s"}
	return h
}

// shortenTimeout sets the timeout of kqctl to 2 s, for calls that never succeed.
func (h *harness) shortenTimeout() *harness {
	h.flags[len(h.flags)-1] = "2s"
	return h
}

// writeDeclarations writes the declarations and returns their folder.
func (h *harness) writeDeclarations(text string) string {
	h.t.Helper()
	dir := filepath.Join(h.dir, "declarations")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		h.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(text), 0o644); err != nil {
		h.t.Fatal(err)
	}
	return dir
}

// run runs kqctl and returns its exit code and output.
func (h *harness) run(args ...string) (code int, stdout, stderr string) {
	h.t.Helper()
	var out, errs bytes.Buffer
	code = Main(context.Background(), append(args, h.flags...), &out, &errs)
	return code, out.String(), errs.String()
}

// expectExit runs kqctl and fails the test unless it exits with code.
func (h *harness) expectExit(code int, args ...string) (stdout, stderr string) {
	h.t.Helper()
	got, out, errs := h.run(args...)
	if got != code {
		h.t.Fatalf("kqctl %v: exit code %d, want %d\n%s%s", args, got, code, out, errs)
	}
	return out, errs
}
