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

// voters holds this process's vote for each data centre that declares it.
type voters struct {
	mu           sync.Mutex
	byDataCentre map[string]*lease.Voter
	maxLease     time.Duration
}

// of returns the vote for a data centre. One that is first asked for later
// still counts its quiet time from the start of the process.
func (v *voters) of(dataCentre string) *lease.Voter {
	if v.byDataCentre[dataCentre] == nil {
		v.byDataCentre[dataCentre] = lease.NewVoter(0, v.maxLease)
	}
	return v.byDataCentre[dataCentre]
}

// voteAnswer is a voter's answer to one request.
type voteAnswer struct {
	voter    string
	round    uint64
	response lease.Response
}

// Vote answers a candidate's request for this process's vote.
func (s *Server) Vote(_ context.Context, r *grantpb.VoteRequest) (*grantpb.VoteResponse, error) {
	if s.voterAddress(s.options.Config(), r.DataCentre, s.options.Name) == "" {
		return nil, errkind.New(errkind.NotFound, "%s is no declared voter of %s", s.options.Name, r.DataCentre)
	}
	a := s.vote(r.DataCentre, lease.Request{
		Candidate: r.Candidate, Incarnation: r.CandidateIncarnation, Address: r.Address,
		Term: r.Term, Lease: time.Duration(r.LeaseMs) * time.Millisecond,
	})
	return &grantpb.VoteResponse{
		Granted: a.Granted, Holder: a.Holder, HolderAddress: a.Address, Term: a.Term, RemainingMs: milliseconds(a.Remaining),
	}, nil
}

func (s *Server) vote(dataCentre string, r lease.Request) lease.Response {
	s.voters.mu.Lock()
	defer s.voters.mu.Unlock()
	return s.voters.of(dataCentre).Vote(s.now(), r)
}

// Release frees this process's vote.
func (s *Server) Release(_ context.Context, r *grantpb.ReleaseRequest) (*grantpb.ReleaseResponse, error) {
	s.voters.mu.Lock()
	defer s.voters.mu.Unlock()
	s.voters.of(r.DataCentre).Release(s.now(), r.Candidate, r.CandidateIncarnation, r.Term)
	return &grantpb.ReleaseResponse{}, nil
}

// requestVote asks one voter, in the background unless it is this process.
func (s *Server) requestVote(send lease.Send) {
	if send.Voter == s.options.Name {
		s.answer(&voteAnswer{send.Voter, send.Round, s.vote(s.options.DataCentre, send.Request)})
		return
	}
	address := s.voterAddress(s.set, s.options.DataCentre, send.Voter)
	if address == "" {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.options.Lease.Lease/2)
		defer cancel()
		conn := s.options.Dialer.Conn(ctx, address)
		defer func() { _ = conn.Close() }()
		r, err := grantpb.NewDRPCLeaseVoterClient(conn).Vote(ctx, &grantpb.VoteRequest{
			DataCentre: s.options.DataCentre, Candidate: send.Request.Candidate, CandidateIncarnation: send.Request.Incarnation,
			Address: send.Request.Address, Term: send.Request.Term, LeaseMs: milliseconds(send.Request.Lease),
		})
		if err != nil {
			s.options.Log.Debug("no vote", "voter", send.Voter, "error", err)
			return
		}
		response := lease.Response{
			Granted: r.Granted, Holder: r.Holder, Address: r.HolderAddress, Term: r.Term,
			Remaining: time.Duration(r.RemainingMs) * time.Millisecond,
		}
		select {
		case s.events <- event{vote: &voteAnswer{send.Voter, send.Round, response}}:
		default:
		}
	})
}

// answer takes a voter's answer in.
func (s *Server) answer(a *voteAnswer) {
	now := s.now()
	s.candidate.Answer(now, a.voter, a.round, a.response)
	s.tenure(now)
}

// release tells the voters that the lease is free.
func (s *Server) release() {
	term, names := s.candidate.Release(s.now())
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
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
				s.options.Log.Debug("release", "voter", name, "error", err)
			}
		})
	}
	wg.Wait()
}

// voterAddress returns the declared address of a voter; empty if there is none.
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
