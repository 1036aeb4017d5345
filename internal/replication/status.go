package replication

import (
	"context"
	"time"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Status is a group's state as one process sees it.
type Status struct {
	ID      string
	Disk    string
	Leading bool
	// Leader is the known leader's id, or "".
	Leader      string
	Term        uint64
	Commit      uint64
	LastIndex   uint64
	Voters      *pb.VoterSet
	Matches     map[string]Match
	Confirmed   bool
	Quarantined bool
	LogBytes    int
}

// Match is what a leader knows of a member.
type Match struct {
	Index    uint64
	SilentMs int64
}

// Status returns the newest view; it must not be changed.
func (g *Group) Status() *Status { return g.status.Load() }

// Applied returns the index up to which the state machine has come.
func (g *Group) Applied() uint64 { return g.apply.Applied() }

// LeaderAddress returns where the known leader takes calls, or "".
func (g *Group) LeaderAddress() (id, address string) {
	s := g.Status()
	if s.Leader == "" {
		return "", ""
	}
	return s.Leader, g.peers.address(s.Leader)
}

// leaderPoll is how often a process without a known leader looks again.
const leaderPoll = 20 * time.Millisecond

// AwaitLeader waits until a leader is known. It returns its address, or leading
// if it is this process; the error is ctx's.
func (g *Group) AwaitLeader(ctx context.Context) (address string, leading bool, err error) {
	for {
		if g.Status().Leading {
			return "", true, nil
		}
		if _, address := g.LeaderAddress(); address != "" {
			return address, false, nil
		}
		select {
		case <-time.After(leaderPoll):
		case <-ctx.Done():
			return "", false, ctx.Err()
		}
	}
}

func (g *Group) publishStatus() {
	c := g.core
	was := g.status.Load()
	s := &Status{
		ID: c.cfg.ID, Disk: c.cfg.Disk, Leading: c.role == Leader, Leader: c.leader, Term: c.term,
		Commit: c.commit, LastIndex: c.log.last(), Voters: c.voters, Confirmed: c.Confirmed(),
		Quarantined: c.quarantined, LogBytes: c.log.bytes, Matches: map[string]Match{},
	}
	for _, v := range c.members() {
		if index, silent, ok := c.Match(v.Id); ok {
			s.Matches[v.Id] = Match{Index: index, SilentMs: silent}
		}
	}
	g.status.Store(s)
	if was == nil {
		return
	}
	if was.Leader != s.Leader || was.Term != s.Term {
		g.opt.Log.Info("leadership", "leader", s.Leader, "term", s.Term, "commit", s.Commit)
	}
	if s.Quarantined && !was.Quarantined {
		g.opt.Log.Error("this disk is older than what the group saw it promise; it no longer votes. Remove this voter, empty its folder and add it again.", "disk", s.Disk)
	}
}

func (g *Group) identity() *pb.IdentifyResponse {
	s := g.Status()
	out := &pb.IdentifyResponse{Id: s.ID, Disk: s.Disk, LastIndex: s.LastIndex, Declared: declaredLine(g.opt.Declared)}
	if len(s.Voters.GetVoters()) > 0 {
		out.Voters = s.Voters
	}
	return out
}

const (
	// catchUpPoll is how often the catch-up of a new voter is looked at.
	catchUpPoll = 20 * time.Millisecond
	// catchUpSlack is how many entries a learner may lack when it is promoted.
	catchUpSlack = 100
)

// AddVoter takes a process with a blank disk in as a learner, waits until it has
// caught up, and makes it a voter. It returns once that is committed.
func (g *Group) AddVoter(ctx context.Context, id, address string) error {
	return g.admit(ctx, id, address, false)
}

// AdmitVoter is AddVoter for a process whose disk may hold the group's log: a
// voter that was removed while it could not be reached. What its disk promised
// in the group stays true, so it needs no blank disk.
func (g *Group) AdmitVoter(ctx context.Context, id, address string) error {
	return g.admit(ctx, id, address, true)
}

func (g *Group) admit(ctx context.Context, id, address string, mayHoldLog bool) error {
	conn := g.opt.Dialer.Conn(ctx, address)
	defer conn.Close()
	who, err := pb.NewDRPCPeerClient(conn).Identify(ctx, &pb.IdentifyRequest{})
	if err != nil {
		return errkind.Wrap(err, errkind.Unreachable, "ask %s who it is", address)
	}
	if who.Id != id {
		return errkind.New(errkind.WrongDisk, "the process at %s is %q, not %q", address, who.Id, id)
	}
	set := g.Status().Voters
	if isMember(set.Voters, id, who.Disk) {
		return nil
	}
	if findVoter(set.Voters, id) != nil {
		return errkind.New(errkind.WrongDisk, "voter %q is known with another disk; remove it first", id)
	}
	if !isMember(set.Learners, id, who.Disk) {
		if who.LastIndex > 0 && !mayHoldLog {
			return errkind.New(errkind.WrongDisk, "the data folder of %q is not empty; empty it before it is added", id)
		}
		v := &pb.Voter{Id: id, Address: address, Disk: who.Disk}
		if err := g.proposeVoters(ctx, func(s *pb.VoterSet) *pb.VoterSet { return WithLearner(s, v) }); err != nil {
			return err
		}
	}
	if err := g.awaitCatchUp(ctx, id); err != nil {
		return err
	}
	return g.proposeVoters(ctx, func(s *pb.VoterSet) *pb.VoterSet { return WithPromoted(s, id) })
}

func (g *Group) awaitCatchUp(ctx context.Context, id string) error {
	tick := time.NewTicker(catchUpPoll)
	defer tick.Stop()
	for {
		s := g.Status()
		if !s.Leading {
			return errkind.New(errkind.NotLeader, "leadership moved; ask again")
		}
		if m := s.Matches[id]; m.Index > 0 && m.Index+catchUpSlack >= s.Commit {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.NotReady, "%q is still catching up as a learner; ask again", id)
		}
	}
}

// RemoveVoter removes a voter or learner. It returns once that is committed.
func (g *Group) RemoveVoter(ctx context.Context, id string) error {
	set := g.Status().Voters
	if findVoter(set.Voters, id) == nil && findVoter(set.Learners, id) == nil {
		return nil
	}
	if len(set.Voters) == 1 && set.Voters[0].Id == id {
		return errkind.New(errkind.BadRequest, "%q is the last voter", id)
	}
	return g.proposeVoters(ctx, func(s *pb.VoterSet) *pb.VoterSet { return Without(s, id) })
}
