package replication

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// Config holds a core's identity, timeouts and limits.
type Config struct {
	ID   string
	Disk string
	// ElectionTimeout is the minimum time without a leader before an election. The
	// actual timeout is drawn at random from one to two times this value.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// QuorumTimeout is how long a leader that does not hear from a majority goes on leading;
	// 0 means ElectionTimeout. It may exceed it: nothing that a leader says counts without a
	// majority. If followers hear from it again in that time, leadership does not change.
	QuorumTimeout time.Duration
	// FirstElectionTimeout, if set, replaces ElectionTimeout until a leader is first
	// known after a start, so that a group whose voters all start together elects
	// one sooner. It doubles with each campaign, up to ElectionTimeout.
	FirstElectionTimeout time.Duration
	// ConfirmTimeout is how long a voter waits after a start for all others to
	// confirm its disk. After that a majority suffices.
	ConfirmTimeout time.Duration
	// InstallTimeout bounds the wait for a follower to acknowledge a snapshot.
	InstallTimeout time.Duration
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// MaxInflightMessages bounds the unacknowledged append messages per follower.
	MaxInflightMessages int
	// MaxUncommittedBytes bounds the uncommitted entries in a leader's log. Above
	// it, proposals are refused.
	MaxUncommittedBytes int
}

// DefaultConfig returns the configuration used in production.
func DefaultConfig(id, disk string) Config {
	return Config{
		ID: id, Disk: disk,
		ElectionTimeout:     time.Second,
		HeartbeatInterval:   100 * time.Millisecond,
		ConfirmTimeout:      3 * time.Second,
		InstallTimeout:      time.Minute,
		MaxAppendBytes:      1 << 20,
		MaxInflightMessages: 64,
		MaxUncommittedBytes: 64 << 20,
	}
}

// RestoredState is the state that a Storage holds at start.
type RestoredState struct {
	HardState *pb.HardState
	// Snapshot is nil if there is none.
	Snapshot *pb.SnapshotMeta
	Entries  []*pb.Entry
	Marks    []*pb.Mark
}

// Role is the role of a process in its current term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors of proposals and reads. The proposal or read was not accepted.
var (
	ErrNotLeader          = errors.New("this process is not the leader of its group")
	ErrUncommittedLimit   = errors.New("the uncommitted entries of the leader exceed their size limit")
	ErrChangePending      = errors.New("another voter set change is pending or not durable yet, or the leader has not committed an entry of its term")
	ErrInvalidVoterChange = errors.New("a voter set change may add or remove at most one voter and must leave at least one")
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
	// replaced are the disks of voters in force in whose place another disk was seen, sorted.
	replaced []string
	// uncounted is the one of them that this process, as candidate or leader, leaves out in its term.
	uncounted string
	// answering is the uncounted disk that answers to the message being processed repeat.
	answering string
	role      Role
	leader    string
	log       raftLog
	commit    uint64
	voters    *pb.VoterSet
	// votersIndex is the index of the entry that holds voters, or of the snapshot that does.
	votersIndex uint64
	snapshot    *pb.SnapshotMeta
	// durableTerm and durableLast are the term and last index that are durable on
	// this disk.
	durableTerm uint64
	durableLast uint64
	// durableNext is the index of the first entry that is not yet durable.
	durableNext uint64
	// ackedIndex is the highest index acknowledged to the leader of this term.
	ackedIndex       uint64
	uncommittedBytes int
	marks            map[string]*pb.Mark
	// heard is when each disk of a member was last heard from, here or by a leader that told.
	// A new leader goes on from it, so that changes of the leader do not hide a silent voter.
	heard map[string]time.Duration

	electionDue time.Duration
	// starting is true from a start with FirstElectionTimeout set until a leader is
	// known. attempts counts the campaigns since the start, or since a leader was
	// last known.
	starting bool
	attempts int
	// campaignDeferred is set once this voter has deferred its next campaign in favour
	// of another's.
	campaignDeferred bool
	heartbeatDue     time.Duration
	leaderContact    time.Duration
	// roleReason says why the role, the term or the known leader changed last.
	roleReason string

	votes map[string]vote
	// leadershipTransfer is set while a campaign starts that the leader has asked for.
	leadershipTransfer bool
	progress           map[string]*progress
	// termStartIndex is the index of the leader's first entry in its term.
	termStartIndex uint64
	// votersStartIndex is the index of the first entry that the leader has appended in its term
	// and since voters is in force.
	votersStartIndex uint64
	// pendingVotersIndex is the index up to which the log may hold an uncommitted voter
	// set. No other set is proposed before it is committed.
	pendingVotersIndex uint64
	heartbeatRound     uint64
	reads              []pendingRead
	readsUnsent        bool

	// confirmed is true once enough voters have answered the hellos of this start; a
	// disk that holds less than they have seen it acknowledge is quarantined.
	// confirmations holds the disks that have answered.
	confirmed     bool
	confirmations map[string]bool
	// nonce identifies the hellos of this start; 0 until it is drawn.
	nonce uint64
	// newerVoters is a committed voter set, learned from a hello reply, that is newer
	// than the one in this log.
	newerVoters     *pb.SnapshotMeta
	helloDue        time.Duration
	confirmDeadline time.Duration

	ready          Ready
	savedHardState *pb.HardState
	// applying is the index of the last entry handed out in Ready.Committed or covered
	// by a snapshot.
	applying uint64
	// suspended is set between Suspend and Resume.
	suspended bool
}

type pendingRead struct {
	id, index, round uint64
}

// Ready is the work that a core hands to its caller, to be done in the order of the
// fields.
type Ready struct {
	// Immediate messages depend on nothing that has yet to be persisted. They are sent
	// first.
	Immediate []*pb.Message
	// Install, if set, names the received snapshot that replaces the state.
	Install *pb.SnapshotMeta
	// HardState and Entries must be durable before Messages are sent. Entries replace
	// the log from their first index on.
	HardState *pb.HardState
	Entries   []*pb.Entry
	Marks     []*pb.Mark
	Messages  []*pb.Message
	// Committed entries are to be applied in order.
	Committed []*pb.Entry
	// Reads are the confirmed reads, each with the index to wait for.
	Reads []ReadState
	// AbortedReads are the ids of reads that were not confirmed before this process
	// lost leadership.
	AbortedReads []uint64
}

// ReadState is a confirmed read: once Index is applied, the state machine holds
// everything that was committed when the read was requested.
type ReadState struct {
	ID, Index uint64
}

// New returns a core that continues from the restored state.
func New(cfg Config, rng *rand.Rand, now time.Duration, r RestoredState) *Core {
	c := &Core{cfg: cfg, rng: rng, now: now, marks: map[string]*pb.Mark{}, heard: map[string]time.Duration{}, confirmations: map[string]bool{}, voters: &pb.VoterSet{}}
	if c.cfg.QuorumTimeout == 0 {
		c.cfg.QuorumTimeout = cfg.ElectionTimeout
	}
	hs := r.HardState
	if hs == nil {
		hs = &pb.HardState{}
	}
	c.term, c.vote, c.quarantined, c.replaced = hs.Term, hs.Vote, hs.Quarantined, slices.Clone(hs.Replaced)
	c.savedHardState = proto.Clone(hs).(*pb.HardState)
	if r.Snapshot != nil {
		c.snapshot, c.voters = r.Snapshot, cloneVoterSet(r.Snapshot.Voters)
		c.commit, c.applying, c.votersIndex = r.Snapshot.Index, r.Snapshot.Index, snapshotVotersIndex(r.Snapshot)
	}
	c.log = newLog(r.Snapshot.GetIndex(), r.Snapshot.GetTerm(), r.Entries)
	c.durableTerm, c.durableLast = c.term, c.log.last()
	c.durableNext = c.log.last() + 1
	for _, m := range r.Marks {
		c.marks[m.Disk] = m
	}
	c.advanceCommit(min(hs.Commit, c.log.last()))
	c.starting = cfg.FirstElectionTimeout > 0
	c.resetElection()
	c.confirmDeadline = now + cfg.ConfirmTimeout
	c.updateConfirmed()
	return c
}

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// LeaderID returns the id of the known leader, or "".
func (c *Core) LeaderID() string { return c.leader }

// Commit returns the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the index of the last entry, committed or not.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// Voters returns the active voter set. The caller must not modify it.
func (c *Core) Voters() *pb.VoterSet { return c.voters }

// Quarantined reports whether the disk was found to hold less than it has
// acknowledged.
func (c *Core) Quarantined() bool { return c.quarantined }

// Confirmed reports whether the other voters have confirmed this disk and it is not
// quarantined, so that this process may vote.
func (c *Core) Confirmed() bool { return c.confirmed && !c.quarantined }

// LogBytes returns the size of the log in memory.
func (c *Core) LogBytes() int { return c.log.bytes }

func (c *Core) isVoter() bool { return isMember(c.voters.Voters, c.cfg.ID, c.cfg.Disk) }

func (c *Core) mayCampaign() bool { return c.isVoter() && c.Confirmed() }

func (c *Core) resetElection() {
	timeout := c.cfg.ElectionTimeout
	if c.starting {
		timeout = min(timeout, c.cfg.FirstElectionTimeout<<c.attempts)
	}
	c.electionDue = c.now + timeout + time.Duration(c.rng.Int64N(int64(timeout)))
}

func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// Tick advances the clock and runs whatever is due: hellos, campaigns, heartbeats
// and the quorum check.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.suspended {
		return
	}
	c.tickConfirm()
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionDue {
		if c.mayCampaign() {
			c.attempts++
			c.campaignDeferred = false
			c.campaign(PreCandidate, c.silenceReason())
		} else {
			c.resetElection()
		}
	}
}

func (c *Core) tickLeader() {
	if !c.hasQuorumContact() {
		c.becomeFollower(c.term, "the leader does not hear from a majority")
		return
	}
	if c.now >= c.heartbeatDue {
		c.heartbeat()
	}
	for _, p := range c.progress {
		if p.state == installing && c.now-p.installStarted > c.cfg.InstallTimeout {
			p.becomeProbe()
		}
	}
}

func (c *Core) hasQuorumContact() bool {
	return c.quorum().Reached(func(v *pb.Voter, uncounted string) bool {
		p := c.progress[v.Id]
		return v.Id == c.cfg.ID || p != nil && p.lastContact+c.cfg.QuorumTimeout > c.now && c.knowsUncounted(v, uncounted)
	})
}

func (c *Core) becomeFollower(term uint64, reason string) {
	c.roleReason = reason
	if term > c.term {
		c.term, c.vote, c.ackedIndex = term, "", 0
	}
	if c.role == Leader {
		for _, r := range c.reads {
			c.ready.AbortedReads = append(c.ready.AbortedReads, r.id)
		}
		c.reads, c.progress = nil, nil
	}
	c.role, c.leader, c.votes, c.uncounted = Follower, "", nil, ""
	c.resetElection()
}

// send fills in a message's header and queues it until the state it depends on is
// durable.
func (c *Core) send(to *pb.Voter, m *pb.Message) {
	c.ready.Messages = append(c.ready.Messages, c.fill(to, m))
}

func (c *Core) fill(to *pb.Voter, m *pb.Message) *pb.Message {
	m.From, m.FromDisk = c.cfg.ID, c.cfg.Disk
	m.To, m.ToDisk = to.Id, to.Disk
	if m.Term == 0 {
		m.Term = c.term
	}
	m.Unconfirmed = !c.Confirmed()
	m.Uncounted = c.uncounted
	if isAnswer(m.Type) {
		m.Uncounted = c.answering
	}
	return m
}

func sender(m *pb.Message) *pb.Voter { return &pb.Voter{Id: m.From, Disk: m.FromDisk} }

// Ready returns the pending work and clears it. ReportDurable must be called once
// HardState and Entries are durable.
func (c *Core) Ready() Ready {
	c.flushReads()
	c.ready.HardState = c.hardStateIfChanged()
	if c.durableNext <= c.log.last() {
		c.ready.Entries = c.log.slice(c.durableNext, c.log.last(), int(^uint(0)>>1))
	}
	if len(c.ready.Entries) > 0 {
		c.ready.Marks = c.memberMarks()
	}
	if c.applying < c.commit {
		c.ready.Committed = c.log.slice(c.applying+1, c.commit, int(^uint(0)>>1))
		c.applying = c.commit
	}
	out := c.ready
	c.ready = Ready{}
	for _, m := range out.Messages {
		m.Shown = &pb.Mark{Disk: c.cfg.Disk, Term: c.term, Index: c.ackedIndex}
	}
	return out
}

// Empty reports whether there is no work to do.
func (r *Ready) Empty() bool {
	return len(r.Immediate) == 0 && r.Install == nil && r.HardState == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.AbortedReads) == 0
}

// NeedsSync reports whether something has to be persisted.
func (r *Ready) NeedsSync() bool { return r.HardState != nil || len(r.Entries) > 0 }

// hardStateIfChanged returns the hard state to persist, or nil. A change of the commit
// index alone is persisted on its own only if it puts a voter set in force, since after a
// restart the one before might count voters that are gone, or if it shows that a majority knows
// a set of which a replaced disk may be left out. Otherwise it is persisted together with the next other change.
func (c *Core) hardStateIfChanged() *pb.HardState {
	s := c.savedHardState
	saved := max(s.Commit, c.snapshot.GetIndex())
	changed := s.Term != c.term || s.Vote != c.vote || s.Quarantined != c.quarantined || !slices.Equal(s.Replaced, c.replaced) ||
		saved < c.votersIndex || saved == c.votersIndex && c.votersKnown() && mayLeaveOut(c.voters)
	if !changed && c.durableNext > c.log.last() {
		return nil
	}
	return &pb.HardState{Term: c.term, Vote: c.vote, Commit: c.commit, Quarantined: c.quarantined, Replaced: c.replaced}
}

// votersKnown reports whether a majority of the voters durably knows that the set is in force: entries after it are
// committed by its own majority only.
func (c *Core) votersKnown() bool { return c.commit > c.votersIndex }

// snapshotVotersIndex returns the index of the entry that holds the snapshot's voter set, or that of the snapshot if it
// does not say.
func snapshotVotersIndex(s *pb.SnapshotMeta) uint64 {
	if s.VotersIndex == 0 {
		return s.Index
	}
	return s.VotersIndex
}

// ReportDurable reports that the HardState and Entries of r, and the snapshot that it
// installs, are durable. Step must not be called between Ready and ReportDurable.
func (c *Core) ReportDurable(r Ready) {
	if r.HardState != nil {
		c.savedHardState = r.HardState
	}
	if n := len(r.Entries); n > 0 {
		c.durableNext = r.Entries[n-1].Index + 1
	}
	c.durableTerm, c.durableLast = c.savedHardState.Term, c.log.last()
	if c.role == Leader {
		c.maybeCommit()
	}
}

func (c *Core) memberMarks() []*pb.Mark {
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
