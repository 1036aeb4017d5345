package directory

import (
	"context"
	"slices"
	"sync"
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
	// voterAnswerLimit is how long a voter must have left this leader without an answer
	// besides: voters are silent without a leader as well.
	voterAnswerLimit = 2 * electionTimeout
	// changeVoterTimeout limits one voter change, including the catch-up of a new voter.
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
			m.changeVoters(ctx, s)
		case m.wantsToJoin(s):
			m.requestJoin(ctx)
		}
	}
}

// wantsToJoin reports whether this process asks to become a voter. One without a leader may
// have been removed. A suspended one could not catch up.
func (m *voterManager) wantsToJoin(s *replication.Status) bool {
	return !s.Suspended && (s.Leader == "" || !isVoter(s.Voters, m.id, m.disk))
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

// changeVoters makes at most one voter change.
func (m *voterManager) changeVoters(ctx context.Context, s *replication.Status) {
	change := m.nextChange(s)
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeVoterTimeout)
	defer cancel()
	err := change.apply(ctx, m.group)
	m.log.Info("voters changed", "step", change.op, "voter", change.id, "because", change.reason, "voters", len(s.Voters.Voters), "error", err)
}

// voterChange is the addition or removal of one voter.
type voterChange struct {
	op, id, address, reason string
}

func (c *voterChange) apply(ctx context.Context, g *replication.Group) error {
	if c.op == opRemove {
		return g.RemoveVoter(ctx, c.id)
	}
	return g.AddVoterAllowingLog(ctx, c.id, c.address)
}

const (
	opRemove = "remove"
	opAdd    = "add"
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
// to vote. Silent voters are removed, the one that is silent for longest first, while at
// least minVoters live ones remain. There is no need to keep a silent voter beyond that:
// its disk holds nothing that a majority of the others does not hold once it is removed.
func nextVoterChange(s *replication.Status, pending []*fleetpb.JoinRequest, minVoters int) *voterChange {
	for _, join := range pending {
		for _, v := range slices.Concat(s.Voters.Voters, s.Voters.Learners) {
			if v.Id == join.Id && v.Disk != join.Disk {
				return &voterChange{op: opRemove, id: v.Id, reason: "the voter's disk was replaced"}
			}
		}
	}
	silent, live := "", 0
	for _, v := range s.Voters.Voters {
		switch p := s.Progress[v.Id]; {
		case v.Id == s.ID || p.SilentMs < voterSilenceLimit.Milliseconds() || p.UnansweredMs < voterAnswerLimit.Milliseconds():
			live++
		case silent == "" || p.SilentMs > s.Progress[silent].SilentMs:
			silent = v.Id
		}
	}
	if silent != "" && live >= minVoters {
		return &voterChange{op: opRemove, id: silent, reason: "the voter is silent and enough others are left"}
	}
	for _, join := range pending {
		return &voterChange{op: opAdd, id: join.Id, address: join.Address, reason: "the process requested to join"}
	}
	return nil
}
