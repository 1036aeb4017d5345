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
	// rosterInterval is how often the leader looks at the voters, and how often a
	// process that is none asks to become one.
	rosterInterval = 250 * time.Millisecond
	// askTimeout bounds one request to join.
	askTimeout = 400 * time.Millisecond
	// candidateAge is how long a request to join counts; a process that still
	// wants to join has asked several times meanwhile.
	candidateAge = 2 * time.Second
	// voterSilence is how long a voter must be silent before another takes its
	// place. It exceeds an election, so that a busy voter keeps its place.
	voterSilence = 3 * time.Second
	// leastVoters is the number of live voters below which none is removed for
	// its silence: with fewer, the removed disk could be the one that is missed.
	leastVoters = 3
	// changeVoterTimeout bounds one change of the voters, the catch-up included.
	changeVoterTimeout = 5 * time.Second
)

// roster keeps the voters of the group in line with the processes that live.
type roster struct {
	id, address string
	disk        string
	group       *replication.Group
	dialer      *rpc.Dialer
	log         hclog.Logger
	now         func() time.Time

	mu         sync.Mutex
	seeds      []string
	candidates map[string]candidate
}

type candidate struct {
	req  *fleetpb.JoinRequest
	when time.Time
}

// members returns the addresses of the group's processes, sorted.
func (r *roster) members() []string {
	set := r.group.Status().Voters
	var out []string
	for _, v := range slices.Concat(set.GetVoters(), set.GetLearners()) {
		out = append(out, v.Address)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (r *roster) asked(req *fleetpb.JoinRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidates[req.Id] = candidate{req: req, when: r.now()}
}

// setSeeds replaces the addresses that a process without a group asks.
func (r *roster) setSeeds(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = addresses
}

func (r *roster) run(ctx context.Context) error {
	tick := time.NewTicker(rosterInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s := r.group.Status()
		switch {
		case s.Leading:
			r.lead(ctx, s)
		case !isVoter(s.Voters, r.id, r.disk) || s.Leader == "":
			r.ask(ctx)
		}
	}
}

func isVoter(set *pb.VoterSet, id, disk string) bool {
	return slices.ContainsFunc(set.GetVoters(), func(v *pb.Voter) bool { return v.Id == id && v.Disk == disk })
}

// ask requests membership from every process known; only the leader acts on it.
func (r *roster) ask(ctx context.Context) {
	r.mu.Lock()
	addresses := slices.Concat(r.seeds, r.members())
	r.mu.Unlock()
	slices.Sort(addresses)
	var wg sync.WaitGroup
	for _, a := range slices.Compact(addresses) {
		if a == r.address {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			conn := r.dialer.Conn(ctx, a)
			defer conn.Close()
			resp, err := fleetpb.NewDRPCDirectoryClient(conn).Join(ctx, &fleetpb.JoinRequest{Id: r.id, Address: r.address, Disk: r.disk})
			if err != nil {
				r.log.Debug("request to join failed", "address", a, "error", err)
				return
			}
			r.learn(resp.Members)
		})
	}
	wg.Wait()
}

func (r *roster) learn(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(r.seeds, a) {
			r.seeds = append(r.seeds, a)
		}
	}
}

// lead makes at most one change of the voters.
func (r *roster) lead(ctx context.Context, s *replication.Status) {
	step := r.next(s)
	if step == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeVoterTimeout)
	defer cancel()
	err := step.do(ctx, r.group)
	r.log.Info("voters changed", "step", step.what, "voter", step.id, "because", step.why, "voters", len(s.Voters.Voters), "error", err)
}

// step is one change of the voters.
type step struct {
	what, id, address, why string
}

func (s *step) do(ctx context.Context, g *replication.Group) error {
	if s.what == stepRemove {
		return g.RemoveVoter(ctx, s.id)
	}
	return g.AdmitVoter(ctx, s.id, s.address)
}

const (
	stepRemove = "remove"
	stepAdd    = "add"
)

func (r *roster) next(s *replication.Status) *step {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var waiting []*fleetpb.JoinRequest
	for id, c := range r.candidates {
		if now.Sub(c.when) > candidateAge || isVoter(s.Voters, id, c.req.Disk) {
			delete(r.candidates, id)
			continue
		}
		waiting = append(waiting, c.req)
	}
	slices.SortFunc(waiting, func(a, b *fleetpb.JoinRequest) int {
		if a.Id < b.Id {
			return -1
		}
		return 1
	})
	return nextStep(s, waiting)
}

// nextStep decides on the next change of the voters, or nil. A voter whose disk
// was replaced goes first: its place counts against the majority. A silent voter
// is removed only where enough live ones remain without it.
func nextStep(s *replication.Status, waiting []*fleetpb.JoinRequest) *step {
	for _, c := range waiting {
		for _, v := range slices.Concat(s.Voters.Voters, s.Voters.Learners) {
			if v.Id == c.Id && v.Disk != c.Disk {
				return &step{what: stepRemove, id: v.Id, why: "its disk was replaced"}
			}
		}
	}
	silent, live := "", 0
	for _, v := range s.Voters.Voters {
		if v.Id == s.ID || s.Matches[v.Id].SilentMs < voterSilence.Milliseconds() {
			live++
		} else {
			silent = v.Id
		}
	}
	if silent != "" && live >= max(leastVoters, len(s.Voters.Voters)-1) {
		return &step{what: stepRemove, id: silent, why: "it is silent and another has taken its place"}
	}
	for _, c := range waiting {
		return &step{what: stepAdd, id: c.Id, address: c.Address, why: "it asked to join"}
	}
	return nil
}
