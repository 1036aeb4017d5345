package replication

import (
	"context"
	"time"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Status is the state of a group as seen by one process.
type Status struct {
	ID      string
	Disk    string
	Leading bool
	// Leader is the id of the known leader, or "".
	Leader      string
	Term        uint64
	Commit      uint64
	LastIndex   uint64
	Voters      *pb.VoterSet
	Progress    map[string]MemberProgress
	Confirmed   bool
	Quarantined bool
	// VotersDurable is set on a leader once a majority of Voters durably knows that the set is
	// committed.
	VotersDurable bool
	// Replaced are the disks of voters in whose place another disk was seen.
	Replaced []string
	// Uncounted is the one of them that this process, as a leader, does not count among the voters, or "".
	Uncounted string
	// Suspended is set while the disk has no room. The process then knows no leader and
	// does not lead.
	Suspended bool
	LogBytes  int
}

// MemberProgress is a leader's view of one member.
type MemberProgress struct {
	// MatchIndex is the last index that the member is known to hold.
	MatchIndex uint64
	// SilentMs is how long ago it was last heard from, by this leader or one before.
	SilentMs int64
	// UnansweredMs is how long ago it last answered this leader, or how long this one leads.
	UnansweredMs int64
}

// Status returns the latest status. The caller must not modify it.
func (g *Group) Status() *Status { return g.status.Load() }

// AppliedIndex returns the index of the last entry that the state machine has
// applied.
func (g *Group) AppliedIndex() uint64 { return g.applier.AppliedIndex() }

// LeaderAddress returns the id of the known leader and the address at which it takes
// calls, or "" for both if no leader is known.
func (g *Group) LeaderAddress() (id, address string) {
	s := g.Status()
	if s.Leader == "" {
		return "", ""
	}
	return s.Leader, g.peers.address(s.Leader)
}

// leaderPollInterval is how often AwaitLeader checks whether a leader is known.
const leaderPollInterval = 20 * time.Millisecond

// AwaitLeader waits until a leader is known. It returns the leader's address, or
// leading if this process is the leader. It fails with the error of ctx, or with kind
// disk-full while the process is suspended.
func (g *Group) AwaitLeader(ctx context.Context) (address string, leading bool, err error) {
	for {
		s := g.Status()
		if s.Leading {
			return "", true, nil
		}
		if s.Suspended {
			return "", false, errkind.New(errkind.DiskFull, "the disk of %q is full, so it knows no leader", s.ID)
		}
		if _, address := g.LeaderAddress(); address != "" {
			return address, false, nil
		}
		select {
		case <-time.After(leaderPollInterval):
		case <-ctx.Done():
			return "", false, ctx.Err()
		}
	}
}

func (g *Group) publishStatus() {
	c := g.core
	previous := g.status.Load()
	s := &Status{
		ID: c.cfg.ID, Disk: c.cfg.Disk, Leading: c.role == Leader, Leader: c.leader, Term: c.term,
		Commit: c.commit, LastIndex: c.log.last(), Voters: c.voters, Confirmed: c.Confirmed(),
		VotersDurable: c.votersDurable(), Replaced: c.replaced, Uncounted: c.uncounted, Quarantined: c.quarantined, Suspended: c.suspended, LogBytes: c.log.bytes, Progress: map[string]MemberProgress{},
	}
	for _, v := range c.members() {
		if p, ok := c.Progress(v.Id); ok {
			s.Progress[v.Id] = p
		}
	}
	if s.Suspended {
		s.Leading, s.Leader = false, ""
	}
	g.status.Store(s)
	if previous == nil {
		return
	}
	if previous.Leader != s.Leader || previous.Term != s.Term {
		g.opt.Log.Info("leadership", "leader", s.Leader, "term", s.Term, "commit", s.Commit, "voters", len(s.Voters.GetVoters()), "uncounted", s.Uncounted, "because", c.roleReason)
	}
	if len(s.Replaced) > len(previous.Replaced) {
		g.opt.Log.Warn("a voter's disk was replaced: its votes are not awaited where the others suffice", "replaced", s.Replaced, "voters", len(s.Voters.GetVoters()))
	}
	if s.Quarantined && !previous.Quarantined {
		g.opt.Log.Error("disk quarantined: it holds less than it has acknowledged to the group, and this voter no longer votes. Remove the voter, empty its data folder and add it again.", "disk", s.Disk)
	}
}

func (g *Group) identity() *pb.IdentifyResponse {
	s := g.Status()
	out := &pb.IdentifyResponse{Id: s.ID, Disk: s.Disk, LastIndex: s.LastIndex, Declared: formatVoters(g.opt.DeclaredVoters)}
	if len(s.Voters.GetVoters()) > 0 {
		out.Voters = s.Voters
	}
	return out
}

const (
	// catchUpPollInterval is how often the progress of a learner is checked.
	catchUpPollInterval = 20 * time.Millisecond
	// maxCatchUpLag is how many committed entries a learner may still be missing
	// when it is promoted.
	maxCatchUpLag = 100
)

// AddVoter adds a process with a blank disk as a learner, waits until it has
// caught up, and promotes it to voter. It returns once the promotion is committed.
func (g *Group) AddVoter(ctx context.Context, id, address string) error {
	conn := g.opt.Dialer.Conn(ctx, address)
	defer conn.Close()
	peer, err := pb.NewDRPCPeerClient(conn).Identify(ctx, &pb.IdentifyRequest{})
	if err != nil {
		return errkind.Wrap(err, errkind.Unreachable, "identify the process at %s", address)
	}
	if peer.Id != id {
		return errkind.New(errkind.WrongDisk, "the process at %s identifies itself as %q, expected %q", address, peer.Id, id)
	}
	set := g.Status().Voters
	if isMember(set.Voters, id, peer.Disk) {
		return nil
	}
	if peer.LastIndex > 0 && !isMember(set.Learners, id, peer.Disk) {
		return errkind.New(errkind.WrongDisk, "the disk of %q already holds a log; empty its data folder before adding it", id)
	}
	if err := g.AddLearner(ctx, &pb.Voter{Id: id, Address: address, Disk: peer.Disk}); err != nil {
		return err
	}
	if err := g.awaitCatchUp(ctx, id); err != nil {
		return err
	}
	return g.PromoteLearner(ctx, id)
}

// AddLearner adds a process as a learner. Its disk need not be blank: the votes and
// acknowledgements of a voter that was removed while it was unreachable remain valid.
func (g *Group) AddLearner(ctx context.Context, v *pb.Voter) error {
	set := g.Status().Voters
	switch {
	case isMember(set.Learners, v.Id, v.Disk):
		return nil
	case findVoter(set.Voters, v.Id) != nil:
		return errkind.New(errkind.WrongDisk, "%q is already a voter with another disk; remove it first", v.Id)
	}
	return g.proposeVoters(ctx, func(s *pb.VoterSet) *pb.VoterSet { return WithLearner(s, v) })
}

// PromoteLearner makes a learner a voter; it is to have caught up.
func (g *Group) PromoteLearner(ctx context.Context, id string) error {
	return g.proposeVoters(ctx, func(s *pb.VoterSet) *pb.VoterSet { return WithLearnerPromoted(s, id) })
}

// CaughtUp reports whether this leader knows that a member holds almost all that is committed.
func (s *Status) CaughtUp(id string) bool {
	m := s.Progress[id]
	return m.MatchIndex > 0 && m.MatchIndex+maxCatchUpLag >= s.Commit
}

func (g *Group) awaitCatchUp(ctx context.Context, id string) error {
	tick := time.NewTicker(catchUpPollInterval)
	defer tick.Stop()
	for {
		s := g.Status()
		if !s.Leading {
			return errkind.New(errkind.NotLeader, "this process lost leadership while a learner was catching up; retry with the new leader")
		}
		if s.CaughtUp(id) {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.NotReady, "learner %q has not caught up yet; retry", id)
		}
	}
}

// ConfirmReplaced asks the process at a voter's address for its disk, and reports the voter's disk as replaced if it
// is another one. A request to join is no evidence by itself, since a former process may have sent it.
func (g *Group) ConfirmReplaced(ctx context.Context, v *pb.Voter) error {
	peer, err := g.identify(ctx, v.Address)
	if err != nil {
		return err
	}
	if peer.Id != v.Id || peer.Disk == v.Disk {
		return errkind.New(errkind.WrongDisk, "the process at %s identifies itself as %q with disk %s; the voter %q has disk %s", v.Address, peer.Id, peer.Disk, v.Id, v.Disk)
	}
	return g.enqueue(ctx, func() { g.core.ReportReplaced(v.Disk) })
}

// RemoveVoter removes a voter or learner. It returns once the removal is committed and a majority
// of the other voters durably knows so: then the removed one is no longer needed.
func (g *Group) RemoveVoter(ctx context.Context, id string) error {
	set := g.Status().Voters
	if findVoter(set.Voters, id) == nil && findVoter(set.Learners, id) == nil {
		return nil
	}
	if len(set.Voters) == 1 && set.Voters[0].Id == id {
		return errkind.New(errkind.BadRequest, "%q is the last voter and cannot be removed", id)
	}
	return g.proposeVoters(ctx, func(s *pb.VoterSet) *pb.VoterSet { return WithoutMember(s, id) })
}
