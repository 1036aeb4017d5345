package directory

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/replication"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	// voterCheckInterval is how often the leader checks the voters, and how often a
	// process that is not a voter asks to become one.
	voterCheckInterval = 250 * time.Millisecond
	// peerCallTimeout limits one call to another directory process: a join request or
	// relayed announcements.
	peerCallTimeout = 400 * time.Millisecond
	// joinRequestTTL is how long a join request stays valid. A process that still wants
	// to join has repeated its request several times by then.
	joinRequestTTL = 2 * time.Second
	// voterSilenceLimit is how long a voter must be silent before it is removed. It
	// exceeds the duration of an election, so that a busy voter is not removed.
	voterSilenceLimit = 3 * time.Second
	// replacedSilenceLimit is that time if a process that has caught up is there to take the voter's
	// place. The set keeps its size, so less is risked than with a removal alone.
	replacedSilenceLimit = 2 * time.Second
	// voterAnswerLimit is how long a voter must have left this leader without an answer
	// besides: voters are silent without a leader as well.
	voterAnswerLimit = 2 * electionTimeout
	// changeVoterTimeout limits one voter change.
	changeVoterTimeout = 5 * time.Second
)

// voterManager adds running processes to the group's voters and removes voters that
// are silent or have lost their disk.
type voterManager struct {
	id, address string
	disk        string
	group       *replication.Group
	dialer      *rpc.Dialer
	log         hclog.Logger
	now         func() time.Time
	// minVoters is the number of live voters below which no silent voter is removed.
	minVoters int
	// changing is held while the voters are changed: each change is decided on the outcome of the one before.
	changing chan struct{}
	// resigning is set once this process is about to end.
	resigning atomic.Bool

	mu           sync.Mutex
	seeds        []string
	pendingJoins map[string]pendingJoin
}

type pendingJoin struct {
	req        *fleetpb.JoinRequest
	receivedAt time.Time
}

// members returns the sorted addresses of the group's voters and learners.
func (m *voterManager) members() []string {
	set := m.group.Status().Voters
	var out []string
	for _, v := range slices.Concat(set.GetVoters(), set.GetLearners()) {
		out = append(out, v.Address)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (m *voterManager) addJoinRequest(req *fleetpb.JoinRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingJoins[req.Id] = pendingJoin{req: req, receivedAt: m.now()}
}

// setSeeds replaces the addresses to which join requests are sent.
func (m *voterManager) setSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = addresses
}

func (m *voterManager) run(ctx context.Context) error {
	tick := time.NewTicker(voterCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s := m.group.Status()
		switch {
		case s.Leading:
			m.changeVoters(ctx)
		case m.wantsToJoin(s):
			m.requestJoin(ctx)
		}
	}
}

// wantsToJoin reports whether this process asks to become a voter. One without a leader may
// have been removed. A suspended one could not catch up.
func (m *voterManager) wantsToJoin(s *replication.Status) bool {
	return !s.Suspended && !m.resigning.Load() && (s.Leader == "" || !isVoter(s.Voters, m.id, m.disk))
}

func isVoter(set *pb.VoterSet, id, disk string) bool {
	return slices.ContainsFunc(set.GetVoters(), func(v *pb.Voter) bool { return v.Id == id && v.Disk == disk })
}

// requestJoin sends a join request to every known process; only the leader acts on it.
func (m *voterManager) requestJoin(ctx context.Context) {
	m.mu.Lock()
	addresses := slices.Concat(m.seeds, m.members())
	m.mu.Unlock()
	slices.Sort(addresses)
	var wg sync.WaitGroup
	for _, a := range slices.Compact(addresses) {
		if a == m.address {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			conn := m.dialer.Conn(ctx, a)
			defer conn.Close()
			resp, err := fleetpb.NewDRPCDirectoryClient(conn).Join(ctx, &fleetpb.JoinRequest{Id: m.id, Address: m.address, Disk: m.disk})
			if err != nil {
				m.log.Debug("join request failed", "address", a, "error", err)
				return
			}
			m.addSeeds(resp.Members)
		})
	}
	wg.Wait()
}

func (m *voterManager) addSeeds(members []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range members {
		if !slices.Contains(m.seeds, a) {
			m.seeds = append(m.seeds, a)
		}
	}
}

// changeVoters makes the voter changes that are due, one after the other.
func (m *voterManager) changeVoters(ctx context.Context) {
	for m.makeNextChange(ctx) {
	}
}

// makeNextChange makes the next voter change. It returns false if none is due, or if it failed.
func (m *voterManager) makeNextChange(ctx context.Context) bool {
	m.changing <- struct{}{}
	defer func() { <-m.changing }()
	s := m.group.Status()
	change := m.nextChange(s)
	return change != nil && m.changeVoter(ctx, s, change) == nil
}

func (m *voterManager) changeVoter(ctx context.Context, s *replication.Status, change *voterChange) error {
	ctx, cancel := context.WithTimeout(ctx, changeVoterTimeout)
	defer cancel()
	began := m.now()
	err := change.apply(ctx, m.group)
	m.log.Info("voters changed", "step", change.op, "voter", change.voter.Id, "because", change.reason, "voters", len(s.Voters.Voters),
		"learners", len(s.Voters.Learners), "took", m.now().Sub(began).Round(time.Millisecond), "error", err)
	return err
}

// voterChange is one step of a change of the voters.
type voterChange struct {
	op, reason string
	voter      *pb.Voter
}

func (c *voterChange) apply(ctx context.Context, g *replication.Group) error {
	switch c.op {
	case opRemove:
		return g.RemoveVoter(ctx, c.voter.Id)
	case opLearn:
		return g.AddLearner(ctx, c.voter)
	default:
		return g.PromoteLearner(ctx, c.voter.Id)
	}
}

const (
	opRemove = "remove"
	// opLearn has a process get the log, without a vote.
	opLearn = "learn"
	opAdd   = "add"
)

func (m *voterManager) nextChange(s *replication.Status) *voterChange {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var pending []*fleetpb.JoinRequest
	for id, join := range m.pendingJoins {
		if now.Sub(join.receivedAt) > joinRequestTTL || isVoter(s.Voters, id, join.req.Disk) {
			delete(m.pendingJoins, id)
			continue
		}
		pending = append(pending, join.req)
	}
	slices.SortFunc(pending, func(a, b *fleetpb.JoinRequest) int {
		if a.Id < b.Id {
			return -1
		}
		return 1
	})
	return nextVoterChange(s, pending, m.minVoters)
}

// minVoters returns the number of voters that bear the loss of as many disks as are given: what is
// committed is held by a majority of them, and a majority is left.
func minVoters(losses int) int { return 2*max(1, losses) + 1 }

// nextVoterChange returns the next voter change, or nil. A voter whose disk was
// replaced is removed first, since it counts towards the majority without being able
// to vote. A process that asks to join becomes a learner, and a voter once it has caught up.
//
// Silent voters are removed, the one that is silent for longest first, while at
// least minVoters live ones remain. There is no need to keep a silent voter beyond that:
// its disk holds nothing that a majority of the others does not hold once it is removed.
//
// Where a learner replaces a silent voter, that one is removed first: with both in the set, the
// majority would be larger, and the loss of one more voter could end the quorum for good.
func nextVoterChange(s *replication.Status, pending []*fleetpb.JoinRequest, minVoters int) *voterChange {
	for _, join := range pending {
		for _, v := range slices.Concat(s.Voters.Voters, s.Voters.Learners) {
			if v.Id == join.Id && v.Disk != join.Disk {
				return &voterChange{op: opRemove, voter: v, reason: "the voter's disk was replaced"}
			}
		}
	}
	var replacement *pb.Voter
	for _, join := range pending {
		v := &pb.Voter{Id: join.Id, Address: join.Address, Disk: join.Disk}
		if !slices.ContainsFunc(s.Voters.Learners, func(l *pb.Voter) bool { return l.Id == join.Id }) {
			return &voterChange{op: opLearn, voter: v, reason: "the process requested to join"}
		}
		if replacement == nil && s.CaughtUp(join.Id) {
			replacement = v
		}
	}
	limit, reason := voterSilenceLimit, "the voter is silent and enough others are left"
	// A removal that has left fewer voters is followed by an addition, not by another one.
	replaces := replacement != nil && len(s.Voters.Voters) >= minVoters
	if replaces {
		limit, reason = replacedSilenceLimit, "the voter is silent and a process that has caught up replaces it"
	}
	silent, live, suspected := longestSilent(s, limit)
	switch {
	case silent != nil && (live >= minVoters || replaces):
		return &voterChange{op: opRemove, voter: silent, reason: reason}
	case replacement == nil || replaces && suspected:
		return removalOfLearner(s)
	}
	return &voterChange{op: opAdd, voter: replacement, reason: "the process requested to join and has caught up"}
}

// longestSilent returns the voter that is silent for longest and at least for limit, or nil, and
// the number of those that are not. suspected is set if one of these was not heard from for an
// election timeout, so that it may be silent soon.
func longestSilent(s *replication.Status, limit time.Duration) (silent *pb.Voter, live int, suspected bool) {
	for _, v := range s.Voters.Voters {
		p := s.Progress[v.Id]
		switch {
		case v.Id == s.ID:
			live++
		case p.SilentMs < limit.Milliseconds() || p.UnansweredMs < voterAnswerLimit.Milliseconds():
			live++
			suspected = suspected || p.SilentMs >= electionTimeout.Milliseconds()
		case silent == nil || p.SilentMs > s.Progress[silent.Id].SilentMs:
			silent = v
		}
	}
	return silent, live, suspected
}

// removalOfLearner returns the removal of a learner that has gone, or nil.
func removalOfLearner(s *replication.Status) *voterChange {
	for _, v := range s.Voters.Learners {
		if p := s.Progress[v.Id]; p.SilentMs >= voterSilenceLimit.Milliseconds() && p.UnansweredMs >= voterSilenceLimit.Milliseconds() {
			return &voterChange{op: opRemove, voter: v, reason: "the learner is silent"}
		}
	}
	return nil
}
