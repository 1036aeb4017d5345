package directory

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/replication"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// server implements the Directory service.
type server struct {
	group   *replication.Group
	machine *publication.Machine
	// process names this run of the process.
	process      string
	hub          *hub
	confirmer    *confirmer
	voterManager *voterManager
	dialer       *rpc.Dialer
	log          hclog.Logger
	evacuations  evacuationLocks
}

var _ fleetpb.DRPCDirectoryServer = (*server)(nil)

// Change implements the Directory service. It never forwards the command, even if this
// process no longer leads.
func (s *server) Change(ctx context.Context, req *fleetpb.ChangeRequest) (*fleetpb.ChangeResponse, error) {
	if req.Command == nil {
		return nil, errkind.New(errkind.BadRequest, "the change is empty")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	revision, err := s.changeLocal(ctx, req)
	if err != nil {
		return nil, err
	}
	return &fleetpb.ChangeResponse{Revision: revision}, nil
}

// Barrier implements the Directory service.
func (s *server) Barrier(ctx context.Context, _ *fleetpb.BarrierRequest) (*fleetpb.BarrierResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	mark, err := s.barrierLocal(ctx)
	if err != nil {
		return nil, err
	}
	return &fleetpb.BarrierResponse{Revision: mark.Revision, Sum: mark.Sum}, nil
}

// Spread implements the Directory service.
func (s *server) Spread(ctx context.Context, req *fleetpb.SpreadRequest) (*fleetpb.SpreadResponse, error) {
	resp := &fleetpb.SpreadResponse{Process: s.process}
	err := s.hub.do(ctx, func() { resp.List = s.hub.receiveSpread(req) })
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// Join implements the Directory service.
func (s *server) Join(ctx context.Context, req *fleetpb.JoinRequest) (*fleetpb.JoinResponse, error) {
	accepted := s.voterManager.checkReplaced(ctx, req)
	if !accepted || !s.group.Status().Leading {
		return &fleetpb.JoinResponse{Members: s.voterManager.members()}, nil
	}
	s.voterManager.addJoinRequest(req)
	return &fleetpb.JoinResponse{Members: s.voterManager.members()}, nil
}

// Resign implements the Directory service.
func (s *server) Resign(ctx context.Context, req *fleetpb.ResignRequest) (*fleetpb.ResignResponse, error) {
	removed, err := s.voterManager.removeResigned(ctx, req)
	if err != nil {
		return nil, err
	}
	return &fleetpb.ResignResponse{Removed: removed}, nil
}
