package replication

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// Config holds a core's identity and bounds.
type Config struct {
	ID   string
	Disk string
	// ElectionTimeout is the least time without a leader before an election;
	// the actual time is drawn from one to two times as much.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// FirstElection, if set, replaces ElectionTimeout for the first election after
	// a start, so that a group that starts whole has a leader sooner.
	FirstElection time.Duration
	// ConfirmTime is how long a started voter waits for all others to confirm
	// its disk before a majority suffices.
	ConfirmTime time.Duration
	// InstallTimeout bounds the wait for a snapshot to be acknowledged.
	InstallTimeout time.Duration
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// Window bounds the messages in flight per follower.
	Window int
	// MaxUncommittedBytes bounds what a leader takes in before commit.
	MaxUncommittedBytes int
}

// DefaultConfig returns the bounds used in production.
func DefaultConfig(id, disk string) Config {
	return Config{
		ID: id, Disk: disk,
		ElectionTimeout:     time.Second,
		Heartbeat:           100 * time.Millisecond,
		ConfirmTime:         3 * time.Second,
		InstallTimeout:      time.Minute,
		MaxAppendBytes:      1 << 20,
		Window:              64,
		MaxUncommittedBytes: 64 << 20,
	}
}

// Restored is what a storage holds at start.
type Restored struct {
	HardState *pb.HardState
	// Snapshot is nil if there is none.
	Snapshot *pb.SnapshotMeta
	Entries  []*pb.Entry
	Marks    []*pb.Mark
}

// Role is a core's part in its term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors of proposals and reads; nothing was accepted.
var (
	ErrNotLeader     = errors.New("this process does not lead the control group")
	ErrBusy          = errors.New("too much is waiting to be committed")
	ErrChangePending = errors.New("another change of the voters is not finished")
	ErrTooFar        = errors.New("a change may add or remove one voter only")
)

// Core is the replication state machine of one process. It is not safe for
// concurrent use.
type Core struct {
	cfg Config
	rng *rand.Rand
	now time.Duration

	term        uint64
	vote        string
	quarantined bool
	role        Role
	leader      string
	log         raftLog
	commit      uint64
	voters      *pb.VoterSet
	snapshot    *pb.SnapshotMeta
	// durableTerm and durableLast are what this disk holds for certain.
	durableTerm uint64
	durableLast uint64
	// durableNext is the first entry not yet durable.
	durableNext uint64
	// acked is what was acknowledged to the leader of this term.
	acked       uint64
	uncommitted int
	marks       map[string]*pb.Mark

	electionDue time.Duration
	// starting is true from a start with FirstElection set until a leader is known;
	// attempts counts the elections meanwhile.
	starting bool
	attempts int
	// gaveWay is set once another's campaign has put off the next one of this voter.
	gaveWay       bool
	heartbeatDue  time.Duration
	quorumDue     time.Duration
	leaderContact time.Duration

	votes map[string]bool
	// handedOver is set while a campaign that the leader asked for begins.
	handedOver bool
	progress   map[string]*progress
	// termStart is the index of the leader's first entry in its term.
	termStart     uint64
	pendingVoters uint64
	round         uint64
	reads         []pendingRead
	readsUnsent   bool

	confirmed bool
	confirms  map[string]bool
	bootNonce uint64
	// told is a newer voter set than the one known here, learned from a reply.
	told       *pb.SnapshotMeta
	helloDue   time.Duration
	confirmDue time.Duration

	out   Ready
	saved *pb.HardState
	gave  uint64
}

type pendingRead struct {
	id, index, round uint64
}

// Ready is what a core wants done, in the order of its fields.
type Ready struct {
	// Early messages rest on nothing that is not yet durable.
	Early []*pb.Message
	// Install, if set, names the received snapshot that replaces the state.
	Install *pb.SnapshotMeta
	// HardState and Entries must be durable before Messages are sent. Entries
	// replace everything from their first index on.
	HardState *pb.HardState
	Entries   []*pb.Entry
	Marks     []*pb.Mark
	Messages  []*pb.Message
	// Committed entries are to be applied in order.
	Committed []*pb.Entry
	// Reads are read rounds that were confirmed, and the index to wait for.
	Reads []ReadState
	// LostReads are read rounds that ended with leadership.
	LostReads []uint64
}

// ReadState is a confirmed read: once Index is applied, the state is current.
type ReadState struct {
	ID, Index uint64
}

// New returns a core that goes on from what was restored.
func New(cfg Config, rng *rand.Rand, now time.Duration, r Restored) *Core {
	c := &Core{cfg: cfg, rng: rng, now: now, marks: map[string]*pb.Mark{}, confirms: map[string]bool{}, voters: &pb.VoterSet{}}
	hs := r.HardState
	if hs == nil {
		hs = &pb.HardState{}
	}
	c.term, c.vote, c.quarantined = hs.Term, hs.Vote, hs.Quarantined
	c.saved = proto.Clone(hs).(*pb.HardState)
	if r.Snapshot != nil {
		c.snapshot, c.voters = r.Snapshot, cloneSet(r.Snapshot.Voters)
		c.commit, c.gave = r.Snapshot.Index, r.Snapshot.Index
	}
	c.log = newLog(r.Snapshot.GetIndex(), r.Snapshot.GetTerm(), r.Entries)
	c.durableTerm, c.durableLast = c.term, c.log.last()
	c.durableNext = c.log.last() + 1
	for _, m := range r.Marks {
		c.marks[m.Disk] = m
	}
	c.advanceCommit(min(hs.Commit, c.log.last()))
	c.starting = cfg.FirstElection > 0
	c.resetElection()
	c.confirmDue = now + cfg.ConfirmTime
	c.checkConfirmed()
	return c
}

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// LeaderID returns the known leader's id, or "".
func (c *Core) LeaderID() string { return c.leader }

// Commit returns the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the index of the last entry, committed or not.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// Voters returns the voter set in force. It must not be changed.
func (c *Core) Voters() *pb.VoterSet { return c.voters }

// Quarantined reports whether the disk was found older than its promises.
func (c *Core) Quarantined() bool { return c.quarantined }

// Confirmed reports whether the voter may vote.
func (c *Core) Confirmed() bool { return c.confirmed && !c.quarantined }

// LogBytes is the memory that the log takes.
func (c *Core) LogBytes() int { return c.log.bytes }

func (c *Core) self() bool { return isMember(c.voters.Voters, c.cfg.ID, c.cfg.Disk) }

func (c *Core) mayCampaign() bool { return c.self() && c.Confirmed() }

func (c *Core) resetElection() {
	timeout := c.cfg.ElectionTimeout
	if c.starting {
		timeout = min(timeout, c.cfg.FirstElection<<c.attempts)
	}
	c.electionDue = c.now + timeout + time.Duration(c.rng.Int64N(int64(timeout)))
}

func (c *Core) advance(now time.Duration) { c.now = max(c.now, now) }

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.tickConfirm()
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionDue {
		if c.mayCampaign() {
			c.attempts++
			c.gaveWay = false
			c.campaign(PreCandidate)
		} else {
			c.resetElection()
		}
	}
}

func (c *Core) tickLeader() {
	if c.now >= c.quorumDue {
		c.quorumDue = c.now + c.cfg.ElectionTimeout
		if !c.hasQuorumContact() {
			c.becomeFollower(c.term, "")
			return
		}
	}
	if c.now >= c.heartbeatDue {
		c.heartbeat()
	}
	for _, p := range c.progress {
		if p.state == installing && c.now-p.since > c.cfg.InstallTimeout {
			p.becomeProbe()
		}
	}
}

func (c *Core) hasQuorumContact() bool {
	n := 0
	for _, v := range c.voters.Voters {
		p := c.progress[v.Id]
		if v.Id == c.cfg.ID || p != nil && p.lastContact+c.cfg.ElectionTimeout > c.now {
			n++
		}
	}
	return n >= majority(len(c.voters.Voters))
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.term {
		c.term, c.vote, c.acked = term, "", 0
	}
	if c.role == Leader {
		for _, r := range c.reads {
			c.out.LostReads = append(c.out.LostReads, r.id)
		}
		c.reads, c.progress = nil, nil
	}
	c.role, c.leader, c.votes = Follower, leader, nil
	c.resetElection()
}

// send completes a message and queues it until the state is durable.
func (c *Core) send(to *pb.Voter, m *pb.Message) {
	c.out.Messages = append(c.out.Messages, c.fill(to, m))
}

func (c *Core) fill(to *pb.Voter, m *pb.Message) *pb.Message {
	m.From, m.FromDisk = c.cfg.ID, c.cfg.Disk
	m.To, m.ToDisk = to.Id, to.Disk
	if m.Term == 0 {
		m.Term = c.term
	}
	m.Unconfirmed = !c.Confirmed()
	return m
}

func sender(m *pb.Message) *pb.Voter { return &pb.Voter{Id: m.From, Disk: m.FromDisk} }

// Ready returns what is to be done, and resets it. Durable must be called once
// HardState and Entries are durable.
func (c *Core) Ready() Ready {
	c.flushReads()
	c.out.HardState = c.hardStateIfChanged()
	if c.durableNext <= c.log.last() {
		c.out.Entries = c.log.slice(c.durableNext, c.log.last(), int(^uint(0)>>1))
	}
	if len(c.out.Entries) > 0 {
		c.out.Marks = c.markList()
	}
	if c.gave < c.commit {
		c.out.Committed = c.log.slice(c.gave+1, c.commit, int(^uint(0)>>1))
		c.gave = c.commit
	}
	out := c.out
	c.out = Ready{}
	for _, m := range out.Messages {
		m.Shown = &pb.Mark{Disk: c.cfg.Disk, Term: c.term, Index: c.acked}
	}
	return out
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Early) == 0 && r.Install == nil && r.HardState == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.LostReads) == 0
}

// NeedsSync reports whether something must become durable.
func (r *Ready) NeedsSync() bool { return r.HardState != nil || len(r.Entries) > 0 }

// hardStateIfChanged leaves a commit index alone to be written with other changes.
func (c *Core) hardStateIfChanged() *pb.HardState {
	s := c.saved
	changed := s.Term != c.term || s.Vote != c.vote || s.Quarantined != c.quarantined
	if !changed && c.durableNext > c.log.last() {
		return nil
	}
	return &pb.HardState{Term: c.term, Vote: c.vote, Commit: c.commit, Quarantined: c.quarantined}
}

// Durable tells the core that the HardState and Entries of r, and the snapshot
// that it installs, are durable. No message may be stepped in between.
func (c *Core) Durable(r Ready) {
	if r.HardState != nil {
		c.saved = r.HardState
	}
	if n := len(r.Entries); n > 0 {
		c.durableNext = r.Entries[n-1].Index + 1
	}
	c.durableTerm, c.durableLast = c.saved.Term, c.log.last()
	if c.role == Leader {
		c.maybeCommit()
	}
}

func (c *Core) markList() []*pb.Mark {
	var out []*pb.Mark
	add := func(vs []*pb.Voter) {
		for _, v := range vs {
			if m := c.marks[v.Disk]; m != nil && v.Disk != c.cfg.Disk {
				out = append(out, m)
			}
		}
	}
	add(c.voters.Voters)
	add(c.voters.Learners)
	return out
}
