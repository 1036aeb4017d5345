package replication

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// Storage persists the hard state, the log and the snapshots of a group. An error
// of a method stops the group, unless it has kind disk-full: then the group is suspended
// until the same call succeeds.
type Storage interface {
	// Append returns once everything given is durable.
	Append(hs *pb.HardState, entries []*pb.Entry, marks []*pb.Mark) error
	// SaveSnapshot may run concurrently with Append.
	SaveSnapshot(meta *pb.SnapshotMeta, write func(io.Writer) error) error
	// LoadSnapshot passes the data of the newest snapshot to read and returns its metadata.
	LoadSnapshot(read func(io.Reader) error) (*pb.SnapshotMeta, error)
	// OpenSnapshot opens the newest snapshot in the form in which it is sent to
	// another process.
	OpenSnapshot() (io.ReadCloser, *pb.SnapshotMeta, error)
	// ReceiveSnapshot stores and verifies a snapshot that OpenSnapshot has returned
	// on another process.
	ReceiveSnapshot(write func(io.Writer) error) (*ReceivedSnapshot, error)
	// InstallSnapshot replaces the log with a received snapshot.
	InstallSnapshot(r *ReceivedSnapshot) error
}

// ReceivedSnapshot is a snapshot that was received and verified, but is not yet
// installed.
type ReceivedSnapshot struct {
	Meta *pb.SnapshotMeta
	Path string
}

// StateMachine is the state machine to which the log is applied. Only one goroutine
// calls it at a time.
type StateMachine interface {
	// Apply applies a committed command and returns its result for the proposer.
	Apply(data []byte) any
	// Publish is called after each batch of commands, with the last applied index.
	Publish(applied uint64)
	Snapshot(w io.Writer) error
	Restore(r io.Reader) error
}

// Options configure a group.
type Options struct {
	Config       Config
	Address      string
	Storage      Storage
	Restored     RestoredState
	StateMachine StateMachine
	Dialer       *rpc.Dialer
	Log          hclog.Logger
	// DeclaredVoters are the voters listed in the settings. They are used to bootstrap
	// the group and as initial addresses.
	DeclaredVoters []*pb.Voter
	// SnapshotBytes and SnapshotEntries bound the log between snapshots.
	SnapshotBytes   int
	SnapshotEntries int
	// CatchUpEntries is how many entries before a snapshot stay in memory, so that
	// followers that lag can catch up without it.
	CatchUpEntries uint64
}

// Defaults for Options that are zero, and limits of the inbox.
const (
	DefaultSnapshotBytes   = 32 << 20
	DefaultSnapshotEntries = 20_000
	DefaultCatchUpEntries  = 2_000
	// inboxSize bounds the functions queued for the group's goroutine.
	inboxSize = 8192
	// maxInboxBatch bounds the queued functions whose changes share one sync.
	maxInboxBatch = 4096
)

// Group runs one Core with its storage, its peers and its state machine. While Run is
// running, only its goroutine accesses the core.
type Group struct {
	opt     Options
	core    *Core
	start   time.Time
	inbox   chan func()
	peers   *peers
	applier *applier

	// Owned by the goroutine of Run.
	receivedSnapshot *ReceivedSnapshot
	// snapshotInstalled is closed once receivedSnapshot is installed.
	snapshotInstalled chan struct{}
	suspension        suspension
	readSeq           uint64
	pendingReads      map[uint64]*waiter

	mu        sync.Mutex
	proposals map[uint64]*waiter
	status    atomic.Pointer[Status]
	done      chan struct{}
}

// waiter is a pending proposal or read. Its caller receives the outcome on done.
type waiter struct {
	term uint64
	done chan outcome
}

type outcome struct {
	value any
	err   error
}

func newWaiter() *waiter { return &waiter{done: make(chan outcome, 1)} }

// NewGroup restores the state machine and returns a group that is ready to Run.
func NewGroup(opt Options) (*Group, error) {
	if opt.SnapshotBytes == 0 {
		opt.SnapshotBytes = DefaultSnapshotBytes
	}
	if opt.SnapshotEntries == 0 {
		opt.SnapshotEntries = DefaultSnapshotEntries
	}
	if opt.CatchUpEntries == 0 {
		opt.CatchUpEntries = DefaultCatchUpEntries
	}
	if opt.Restored.Snapshot != nil {
		if _, err := opt.Storage.LoadSnapshot(opt.StateMachine.Restore); err != nil {
			return nil, err
		}
		opt.StateMachine.Publish(opt.Restored.Snapshot.Index)
	}
	g := &Group{
		opt: opt, start: time.Now(), inbox: make(chan func(), inboxSize),
		pendingReads: map[uint64]*waiter{}, proposals: map[uint64]*waiter{}, done: make(chan struct{}),
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g.core = New(opt.Config, rng, 0, opt.Restored)
	g.peers = newPeers(g)
	g.applier = newApplier(g)
	g.publishStatus()
	return g, nil
}

func (g *Group) now() time.Duration { return time.Since(g.start) }

// Run drives the group until ctx ends or the storage fails.
func (g *Group) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer close(g.done)
	applied := make(chan error, 1)
	go func() { applied <- g.applier.run(ctx) }()
	err := g.loop(ctx, applied)
	cancel()
	g.applier.wait()
	g.peers.wait()
	g.failWaiters()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (g *Group) loop(ctx context.Context, applied <-chan error) error {
	tick := time.NewTicker(g.opt.Config.HeartbeatInterval / 2)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-applied:
			return err
		case <-tick.C:
		case f := <-g.inbox:
			g.core.advanceClock(g.now())
			f()
			g.drainInbox()
		}
		g.core.Tick(g.now())
		if err := g.processReady(ctx); err != nil {
			return err
		}
		g.publishStatus()
	}
}

// drainInbox runs the functions that are already queued, so that their changes share
// one sync.
func (g *Group) drainInbox() {
	for range maxInboxBatch {
		select {
		case f := <-g.inbox:
			f()
		default:
			return
		}
	}
}

func (g *Group) processReady(ctx context.Context) error {
	for {
		r, err := g.nextReady(ctx)
		if r == nil || err != nil {
			return err
		}
		g.core.ReportDurable(*r)
		if g.suspension.ready != nil {
			g.resume()
		}
		g.peers.send(ctx, r.Messages)
		g.applier.enqueue(r.Committed)
		g.completeReads(*r)
	}
}

// nextReady returns the next work once it is persisted. It returns nil if there is none, or
// if it cannot be persisted for now.
func (g *Group) nextReady(ctx context.Context) (*Ready, error) {
	r := g.suspension.ready
	if r == nil {
		next := g.core.Ready()
		if next.Empty() {
			return nil, nil
		}
		g.peers.send(ctx, next.Immediate)
		r = &next
	} else if g.now() < g.suspension.retryAt {
		return nil, nil
	}
	err := g.persist(r)
	if errkind.Is(err, errkind.DiskFull) {
		g.suspend(ctx, r, err)
		return nil, nil
	}
	return r, err
}

// persist makes r durable. It may be called again after an error of kind disk-full.
func (g *Group) persist(r *Ready) error {
	if r.Install != nil {
		if g.receivedSnapshot == nil || g.receivedSnapshot.Meta.Index != r.Install.Index {
			return errkind.New(errkind.Internal, "the snapshot at index %d to be installed is not the one received last", r.Install.Index)
		}
		if err := g.opt.Storage.InstallSnapshot(g.receivedSnapshot); err != nil {
			return err
		}
		g.applier.enqueueSnapshot(r.Install)
		close(g.snapshotInstalled)
		g.receivedSnapshot, r.Install = nil, nil
	}
	if !r.NeedsSync() {
		return nil
	}
	return g.opt.Storage.Append(r.HardState, r.Entries, r.Marks)
}

func (g *Group) completeReads(r Ready) {
	for _, s := range r.Reads {
		if w := g.pendingReads[s.ID]; w != nil {
			delete(g.pendingReads, s.ID)
			g.applier.completeWhenApplied(s.Index, w)
		}
	}
	for _, id := range r.AbortedReads {
		if w := g.pendingReads[id]; w != nil {
			delete(g.pendingReads, id)
			w.done <- outcome{err: errkind.New(errkind.NotLeader, "this process lost leadership before the read was confirmed")}
		}
	}
}

// enqueue queues f to be run on the group's goroutine.
func (g *Group) enqueue(ctx context.Context, f func()) error {
	select {
	case g.inbox <- f:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.NoQuorum, "the replication queue of this process stayed full; nothing was accepted")
	case <-g.done:
		return errkind.New(errkind.ShuttingDown, "this process is shutting down")
	}
}

// Propose replicates a command and returns the state machine's result. An error of
// kind change-unknown means that the command may or may not have been accepted;
// any other kind means that it was not.
func (g *Group) Propose(ctx context.Context, data []byte) (any, error) {
	return g.awaitProposal(ctx, func() (uint64, uint64, error) { return g.core.Propose(data) })
}

// ProposeInTerm is like Propose, but fails with kind not-leader unless this process leads in the
// term. A caller that has confirmed a read in that term knows that no other process has led since.
func (g *Group) ProposeInTerm(ctx context.Context, term uint64, data []byte) (any, error) {
	return g.awaitProposal(ctx, func() (uint64, uint64, error) {
		if g.core.term != term {
			return 0, 0, ErrNotLeader
		}
		return g.core.Propose(data)
	})
}

func (g *Group) proposeVoters(ctx context.Context, next func(*pb.VoterSet) *pb.VoterSet) error {
	var index uint64
	_, err := g.awaitProposal(ctx, func() (uint64, uint64, error) {
		i, term, err := g.core.ProposeVoters(next(g.core.Voters()))
		index = i
		return i, term, err
	})
	if err != nil {
		return err
	}
	return g.awaitVotersDurable(ctx, index)
}

// votersPollInterval is how often a change of the voters checks whether it is durable.
const votersPollInterval = 10 * time.Millisecond

// awaitVotersDurable waits until a majority of the voters durably knows that the voter set in the
// entry at index, which this process has committed, is committed. A leader that has removed
// itself does not wait, since it is no longer told.
func (g *Group) awaitVotersDurable(ctx context.Context, index uint64) error {
	tick := time.NewTicker(votersPollInterval)
	defer tick.Stop()
	for {
		s := g.Status()
		switch {
		case s.Commit < index:
			// The status is older than the commit.
		case s.VotersDurable || !isMember(s.Voters.Voters, s.ID, s.Disk):
			return nil
		case !s.Leading:
			return errkind.New(errkind.ChangeUnknown, "the voters were changed, but this process lost leadership before a majority of them had recorded it")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.ChangeUnknown, "the voters were changed, but a majority of them has not recorded it before the deadline")
		case <-g.done:
			return errkind.New(errkind.ChangeUnknown, "this process stopped before a majority of the voters had recorded their change")
		}
	}
}

func (g *Group) awaitProposal(ctx context.Context, propose func() (uint64, uint64, error)) (any, error) {
	w := newWaiter()
	err := g.enqueue(ctx, func() {
		index, term, err := propose()
		if err != nil {
			w.done <- outcome{err: proposalError(err)}
			return
		}
		w.term = term
		g.mu.Lock()
		g.proposals[index] = w
		g.mu.Unlock()
	})
	if err != nil {
		return nil, err
	}
	select {
	case o := <-w.done:
		return o.value, o.err
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.ChangeUnknown, "the change was not committed and applied before the deadline")
	}
}

func proposalError(err error) error {
	switch {
	case errors.Is(err, ErrNotLeader):
		return errkind.Wrap(err, errkind.NotLeader, "the proposal was rejected")
	case errors.Is(err, ErrUncommittedLimit):
		return errkind.Wrap(err, errkind.NoQuorum, "the proposal was rejected")
	}
	return errkind.Wrap(err, errkind.ChangeConflict, "the proposal was rejected")
}

// ReadBarrier returns once the state machine has applied everything that was
// accepted before the call. It fails with kind not-leader, no-quorum or
// shutting-down.
func (g *Group) ReadBarrier(ctx context.Context) error {
	w := newWaiter()
	err := g.enqueue(ctx, func() {
		g.readSeq++
		if err := g.core.ReadIndex(g.readSeq); err != nil {
			w.done <- outcome{err: errkind.Wrap(err, errkind.NotLeader, "the read was rejected")}
			return
		}
		g.pendingReads[g.readSeq] = w
	})
	if err != nil {
		return err
	}
	select {
	case o := <-w.done:
		return o.err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.NoQuorum, "the read was not confirmed by a majority of the voters and applied before the deadline")
	}
}

// takeProposal removes and returns the waiter of the proposal at index, or nil.
func (g *Group) takeProposal(index uint64) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.proposals[index]
	delete(g.proposals, index)
	return w
}

// failWaiters fails the proposals and reads that are still pending when the group
// stops.
func (g *Group) failWaiters() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, w := range g.proposals {
		delete(g.proposals, i)
		w.done <- outcome{err: errkind.New(errkind.ChangeUnknown, "this process stopped before the change was applied")}
	}
	for id, w := range g.pendingReads {
		delete(g.pendingReads, id)
		w.done <- outcome{err: errkind.New(errkind.ShuttingDown, "this process is shutting down")}
	}
}

// leadershipTransferRetryInterval is how often TransferLeadership asks again.
const leadershipTransferRetryInterval = 5 * time.Millisecond

// TransferLeadership transfers leadership to another voter that holds the whole log,
// if this process is the leader. It returns once another process leads, this one has
// given up leadership for lack of a quorum, the group stops or ctx ends. Until another one
// leads this process must not stop, since the successor may still need its vote.
func (g *Group) TransferLeadership(ctx context.Context) {
	tick := time.NewTicker(leadershipTransferRetryInterval)
	defer tick.Stop()
	led := g.Status()
	for s := led; s.Leading || s.Leader == "" && s.Term > led.Term; s = g.Status() {
		if s.Leading {
			led = s
			if g.enqueue(ctx, func() { g.core.TransferLeadership() }) != nil {
				return
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		case <-g.done:
			return
		}
	}
}
