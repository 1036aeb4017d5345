package grantor

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/lease"
)

// localVoters holds this process's lease voters, one per data centre.
type localVoters struct {
	mu           sync.Mutex
	byDataCentre map[string]*lease.Voter
	maxLease     time.Duration
}

// forDataCentre returns the voter of a data centre, and creates it on first use. A
// voter grants no vote for one maximum lease after it starts; that time counts
// from the start of the process, not from the first use. The caller must hold mu.
func (v *localVoters) forDataCentre(dataCentre string) *lease.Voter {
	if v.byDataCentre[dataCentre] == nil {
		v.byDataCentre[dataCentre] = lease.NewVoter(0, v.maxLease)
	}
	return v.byDataCentre[dataCentre]
}

// voteResponse is a voter's response to the vote request of one round.
type voteResponse struct {
	voter    string
	round    uint64
	response lease.Response
}

// Vote handles a candidate's request for this process's vote.
func (s *Server) Vote(_ context.Context, r *grantpb.VoteRequest) (*grantpb.VoteResponse, error) {
	if s.voterAddress(s.options.Config(), r.DataCentre, s.options.Name) == "" {
		return nil, errkind.New(errkind.NotFound, "%s is not a declared lease voter of data centre %s", s.options.Name, r.DataCentre)
	}
	a := s.castVote(r.DataCentre, lease.Request{
		Candidate: r.Candidate, Incarnation: r.CandidateIncarnation, Address: r.Address,
		Term: r.Term, Duration: time.Duration(r.LeaseMs) * time.Millisecond,
	})
	return &grantpb.VoteResponse{
		Granted: a.Granted, Holder: a.Holder, HolderAddress: a.HolderAddress, Term: a.Term, RemainingMs: milliseconds(a.Remaining),
	}, nil
}

func (s *Server) castVote(dataCentre string, r lease.Request) lease.Response {
	s.voters.mu.Lock()
	defer s.voters.mu.Unlock()
	return s.voters.forDataCentre(dataCentre).Vote(s.now(), r)
}

// Release frees this process's vote if the candidate holds it.
func (s *Server) Release(_ context.Context, r *grantpb.ReleaseRequest) (*grantpb.ReleaseResponse, error) {
	s.voters.mu.Lock()
	defer s.voters.mu.Unlock()
	s.voters.forDataCentre(r.DataCentre).Release(s.now(), r.Candidate, r.CandidateIncarnation, r.Term)
	return &grantpb.ReleaseResponse{}, nil
}

// requestVote requests the vote of one voter, in the background unless the voter
// is this process. A response that finds the event queue full is dropped; the
// candidate requests the vote again in its next round.
func (s *Server) requestVote(outgoing lease.OutgoingRequest) {
	if outgoing.Voter == s.options.Name {
		s.handleVoteResponse(&voteResponse{outgoing.Voter, outgoing.Round, s.castVote(s.options.DataCentre, outgoing.Request)})
		return
	}
	address := s.voterAddress(s.set, s.options.DataCentre, outgoing.Voter)
	if address == "" {
		return
	}
	s.voterRequests.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.options.Lease.Duration/2)
		defer cancel()
		conn := s.options.Dialer.Conn(ctx, address)
		defer func() { _ = conn.Close() }()
		r, err := grantpb.NewDRPCLeaseVoterClient(conn).Vote(ctx, &grantpb.VoteRequest{
			DataCentre: s.options.DataCentre, Candidate: outgoing.Request.Candidate, CandidateIncarnation: outgoing.Request.Incarnation,
			Address: outgoing.Request.Address, Term: outgoing.Request.Term, LeaseMs: milliseconds(outgoing.Request.Duration),
		})
		if err != nil {
			s.options.Log.Debug("vote request failed", "voter", outgoing.Voter, "error", err)
			return
		}
		response := lease.Response{
			Granted: r.Granted, Holder: r.Holder, HolderAddress: r.HolderAddress, Term: r.Term,
			Remaining: time.Duration(r.RemainingMs) * time.Millisecond,
		}
		select {
		case s.events <- event{vote: &voteResponse{outgoing.Voter, outgoing.Round, response}}:
		default:
		}
	})
}

// handleVoteResponse passes a voter's response to the candidate.
func (s *Server) handleVoteResponse(a *voteResponse) {
	now := s.now()
	s.candidate.HandleResponse(now, a.voter, a.round, a.response)
	s.updateTerm(now)
}

// releaseLease releases the votes of this process's lease at all voters.
func (s *Server) releaseLease() {
	term, names := s.candidate.Release(s.now())
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	request := &grantpb.ReleaseRequest{
		DataCentre: s.options.DataCentre, Candidate: s.options.Name, CandidateIncarnation: s.options.Incarnation, Term: term,
	}
	var wg sync.WaitGroup
	for _, name := range names {
		if name == s.options.Name {
			_, _ = s.Release(ctx, request)
			continue
		}
		address := s.voterAddress(s.set, s.options.DataCentre, name)
		wg.Go(func() {
			conn := s.options.Dialer.Conn(ctx, address)
			defer func() { _ = conn.Close() }()
			_, err := grantpb.NewDRPCLeaseVoterClient(conn).Release(ctx, request)
			if err != nil {
				s.options.Log.Debug("releasing a vote failed", "voter", name, "error", err)
			}
		})
	}
	wg.Wait()
}

// voterAddress returns the declared address of a voter, or "" if it is not declared.
func (s *Server) voterAddress(set *config.Set, dataCentre, name string) string {
	if set == nil || set.DataCentres[dataCentre] == nil {
		return ""
	}
	for _, v := range set.DataCentres[dataCentre].LeaseVoters {
		if v.Name == name {
			return v.Address
		}
	}
	return ""
}
