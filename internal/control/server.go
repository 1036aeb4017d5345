package control

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/keys"
	"github.com/kumquathollow/kumquathollow/internal/replication"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/storage"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

const (
	// callTimeout bounds a call whose client gave no deadline.
	callTimeout = 10 * time.Second
	// statusBarrier bounds the proof that Status is the view of a quorum.
	statusBarrier = time.Second
	// maxKeyBytes bounds each part of a claim's key, and the attempt's id.
	maxKeyBytes = 256
	// maxKeptAnswer bounds the body of one answer kept with a claim.
	maxKeptAnswer = 256 << 10
	// maxChangeBytes bounds one change.
	maxChangeBytes = 8 << 20
)

// Server answers the Control service. On a process that does not lead it
// forwards to the leader, once.
type Server struct {
	group   *replication.Group
	machine *machine
	nodes   *nodes
	dialer  *rpc.Dialer
	log     hclog.Logger
	metrics *telemetry.Registry
	now     func() time.Time

	// changes admits one change at a time.
	changes sync.Mutex
}

var _ controlpb.DRPCControlServer = (*Server)(nil)

func (s *Server) state() *State { return s.machine.state }

func actorOf(ctx context.Context) string {
	if actor, ok := ctx.Value(actorKey{}).(string); ok {
		return actor
	}
	if name, _, ok := keys.Peer(ctx); ok {
		return name
	}
	return "unauthenticated"
}

// propose stamps a command with the time, replicates it and returns its answer.
func (s *Server) propose(ctx context.Context, cmd *statepb.Command) (proto.Message, error) {
	data, err := marshalCommand(s.now().UnixMilli(), cmd)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "encode the command")
	}
	begun := time.Now()
	out, err := s.group.Propose(ctx, data)
	if err != nil {
		s.metrics.Meter("control.proposals_failed").Mark(1)
		return nil, err
	}
	s.metrics.Histogram("control.commit_us").Update(time.Since(begun).Microseconds())
	r := out.(result)
	return r.msg, r.err
}

// Apply checks and replicates an operator's change.
func (s *Server) Apply(ctx context.Context, req *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	return route(ctx, s, "Apply", req, &controlpb.ApplyResponse{}, s.applyHere)
}

func (s *Server) applyHere(ctx context.Context, actor string, req *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	if err := checkChangeRequest(req); err != nil {
		return nil, err
	}
	s.changes.Lock()
	defer s.changes.Unlock()
	if err := s.group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	digest, answer, err := s.state().accept(req, s.machine.check)
	if answer != nil || err != nil {
		return answer, err
	}
	change := &statepb.Change{Request: req, Actor: actor, Digest: digest}
	msg, err := s.propose(ctx, &statepb.Command{Op: &statepb.Command_Change{Change: change}})
	if err != nil {
		return nil, err
	}
	s.log.Info("change accepted", "actor", actor, "action", req.Action, "change", req.ChangeId, "revision", msg.(*controlpb.ApplyResponse).Revision.Number)
	return msg.(*controlpb.ApplyResponse), nil
}

func checkChangeRequest(req *controlpb.ApplyRequest) error {
	switch {
	case req.ChangeId == "" || len(req.ChangeId) > maxKeyBytes:
		return errkind.New(errkind.BadRequest, "a change needs an id of at most %d bytes", maxKeyBytes)
	case req.Base == nil:
		return errkind.New(errkind.BadRequest, "a change needs the revision that it was made from")
	case len(req.Upserts)+len(req.Deletes) == 0:
		return errkind.New(errkind.BadRequest, "the change is empty")
	case proto.Size(req) > maxChangeBytes:
		return errkind.New(errkind.TooLarge, "the change is over %d bytes; make several", maxChangeBytes)
	}
	return nil
}

// accept checks a change against the newest state. It returns the answer at once
// for a change id that is known, else the digest of the set that was checked.
func (s *State) accept(req *controlpb.ApplyRequest, check Checker) (uint64, *controlpb.ApplyResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, known := s.repeated(req); known {
		if r.err != nil {
			return 0, nil, r.err
		}
		return 0, r.msg.(*controlpb.ApplyResponse), nil
	}
	if config.FromPB(req.Base) != s.rev {
		return 0, nil, s.conflict(req)
	}
	base := s.newest()
	next, err := base.Apply(nextRevision(s.rev), req.Upserts, req.Deletes)
	if err != nil {
		return 0, nil, err
	}
	if err := check(base, next); err != nil {
		return 0, nil, err
	}
	return s.digestAfter(req), nil, nil
}

// Get returns a configuration, current as of the call.
func (s *Server) Get(ctx context.Context, req *controlpb.GetRequest) (*controlpb.GetResponse, error) {
	return route(ctx, s, "Get", req, &controlpb.GetResponse{}, func(ctx context.Context, _ string, req *controlpb.GetRequest) (*controlpb.GetResponse, error) {
		if err := s.group.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return s.state().Get(req.At)
	})
}

// History returns the audit trail, current as of the call.
func (s *Server) History(ctx context.Context, req *controlpb.HistoryRequest) (*controlpb.HistoryResponse, error) {
	return route(ctx, s, "History", req, &controlpb.HistoryResponse{}, func(ctx context.Context, _ string, req *controlpb.HistoryRequest) (*controlpb.HistoryResponse, error) {
		if err := s.group.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return s.state().History(req), nil
	})
}

// Claim records that a request is about to run.
func (s *Server) Claim(ctx context.Context, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
	return route(ctx, s, "Claim", req, &controlpb.ClaimResponse{}, func(ctx context.Context, _ string, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
		if err := checkClaimKey(req.Key, req.AttemptId); err != nil {
			return nil, err
		}
		msg, err := s.propose(ctx, &statepb.Command{Op: &statepb.Command_Claim{Claim: req}})
		if err != nil {
			return nil, err
		}
		return msg.(*controlpb.ClaimResponse), nil
	})
}

func checkClaimKey(k *controlpb.ClaimKey, attempt string) error {
	for _, part := range []string{k.GetService(), k.GetWorkspace(), k.GetIdempotencyKey(), attempt} {
		if part == "" || len(part) > maxKeyBytes {
			return errkind.New(errkind.BadRequest, "service, workspace, idempotency key and attempt must be set, each at most %d bytes", maxKeyBytes)
		}
	}
	return nil
}

// Settle records a claim's outcome.
func (s *Server) Settle(ctx context.Context, req *controlpb.SettleRequest) (*controlpb.SettleResponse, error) {
	return route(ctx, s, "Settle", req, &controlpb.SettleResponse{}, func(ctx context.Context, _ string, req *controlpb.SettleRequest) (*controlpb.SettleResponse, error) {
		if err := checkClaimKey(req.Key, req.AttemptId); err != nil {
			return nil, err
		}
		if a := req.Answer; a != nil && len(a.Body) > maxKeptAnswer {
			req.Answer = &controlpb.RecordedAnswer{Status: a.Status, ContentType: a.ContentType, NotKept: true}
		}
		if _, err := s.propose(ctx, &statepb.Command{Op: &statepb.Command_Settle{Settle: req}}); err != nil {
			return nil, err
		}
		return &controlpb.SettleResponse{}, nil
	})
}

// Heartbeat notes a node's state and tells the newest revision, confirmed by a
// majority.
func (s *Server) Heartbeat(ctx context.Context, req *controlpb.HeartbeatRequest) (*controlpb.HeartbeatResponse, error) {
	return route(ctx, s, "Heartbeat", req, &controlpb.HeartbeatResponse{}, func(ctx context.Context, _ string, req *controlpb.HeartbeatRequest) (*controlpb.HeartbeatResponse, error) {
		if err := s.nodes.beat(req.Node, s.now()); err != nil {
			return nil, err
		}
		if err := s.group.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return &controlpb.HeartbeatResponse{Newest: s.state().Revision().PB()}, nil
	})
}

// ChangeVoter adds or removes one voter.
func (s *Server) ChangeVoter(ctx context.Context, req *controlpb.ChangeVoterRequest) (*controlpb.ChangeVoterResponse, error) {
	return route(ctx, s, "ChangeVoter", req, &controlpb.ChangeVoterResponse{}, func(ctx context.Context, actor string, req *controlpb.ChangeVoterRequest) (*controlpb.ChangeVoterResponse, error) {
		var err error
		if req.Add {
			err = s.group.AddVoter(ctx, req.Id, req.Address)
		} else {
			err = s.group.RemoveVoter(ctx, req.Id)
		}
		if err != nil {
			return nil, err
		}
		s.log.Info("voters changed", "actor", actor, "add", req.Add, "voter", req.Id)
		return &controlpb.ChangeVoterResponse{}, nil
	})
}

// snapshotChunk is the size of the chunks of SaveSnapshot.
const snapshotChunk = 256 << 10

// SaveSnapshot streams the state, current as of the call on the leader. Another
// process than the leader names it and refuses.
func (s *Server) SaveSnapshot(_ *controlpb.SaveSnapshotRequest, stream controlpb.DRPCControl_SaveSnapshotStream) error {
	if err := s.group.ReadBarrier(stream.Context()); err != nil {
		return s.nameLeader(err)
	}
	var buf bytes.Buffer
	meta := &pb.SnapshotMeta{Index: s.group.Applied(), Term: s.group.Status().Term}
	if err := storage.WriteSnapshot(&buf, meta, s.state().Snapshot); err != nil {
		return err
	}
	for buf.Len() > 0 {
		if err := stream.Send(&controlpb.SnapshotChunk{Data: buf.Next(snapshotChunk)}); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) nameLeader(err error) error {
	id, address := s.group.LeaderAddress()
	if !errkind.Is(err, errkind.NotLeader) || id == "" {
		return err
	}
	return errkind.New(errkind.NotLeader, "ask the leader %s at %s", id, address)
}

// Status reports the group and every known node. Without a leader it tells what
// this process knows.
func (s *Server) Status(ctx context.Context, req *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	out, err := route(ctx, s, "Status", req, &controlpb.StatusResponse{}, func(ctx context.Context, _ string, _ *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, statusBarrier)
		defer cancel()
		if err := s.group.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return s.statusHere(), nil
	})
	if err != nil {
		return s.statusHere(), nil
	}
	out.Quorum = true
	return out, nil
}

func (s *Server) statusHere() *controlpb.StatusResponse {
	g := s.group.Status()
	out := &controlpb.StatusResponse{
		Revision: s.state().Revision().PB(), Leader: g.Leader, Term: g.Term, CommitIndex: g.Commit,
		Claims: uint64(s.state().Claims()),
	}
	for _, v := range g.Voters.GetVoters() {
		m := g.Matches[v.Id]
		out.Voters = append(out.Voters, &controlpb.VoterStatus{
			Id: v.Id, Address: v.Address, Leader: v.Id == g.Leader, MatchIndex: m.Index, SilentMs: uint64(m.SilentMs),
		})
	}
	if g.Leading {
		out.Nodes = s.nodes.list(s.now())
	}
	return out
}
