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
	// callTimeout limits a call whose client set no deadline.
	callTimeout = 10 * time.Second
	// statusBarrierTimeout limits the quorum round by which the leader confirms for
	// Status that it still leads.
	statusBarrierTimeout = time.Second
	// maxKeyBytes limits each part of a claim's key, and the ids of attempts and changes.
	maxKeyBytes = 256
	// maxAnswerBodyBytes limits the body of an answer stored with a claim.
	maxAnswerBodyBytes = 256 << 10
	// maxChangeBytes limits the encoded size of one change.
	maxChangeBytes = 8 << 20
)

// Server implements the Control service. On a process that is not the leader, it
// forwards calls to the leader, once per call.
type Server struct {
	group        *replication.Group
	stateMachine *stateMachine
	nodes        *nodeTable
	dialer       *rpc.Dialer
	log          hclog.Logger
	metrics      *telemetry.Registry
	now          func() time.Time

	// changeMu serialises changes.
	changeMu sync.Mutex
}

var _ controlpb.DRPCControlServer = (*Server)(nil)

func (s *Server) state() *State { return s.stateMachine.state }

func actorOf(ctx context.Context) string {
	if actor, ok := ctx.Value(actorKey{}).(string); ok {
		return actor
	}
	if name, _, ok := keys.PeerIdentity(ctx); ok {
		return name
	}
	return "unauthenticated"
}

// propose sets the time of a command, replicates it and returns its result.
func (s *Server) propose(ctx context.Context, cmd *statepb.Command) (proto.Message, error) {
	data, err := encodeCommand(s.now().UnixMilli(), cmd)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "encode the command")
	}
	start := time.Now()
	out, err := s.group.Propose(ctx, data)
	if err != nil {
		s.metrics.Meter("control.proposals_failed").Mark(1)
		return nil, err
	}
	s.metrics.Histogram("control.commit_us").Update(time.Since(start).Microseconds())
	r := out.(result)
	return r.msg, r.err
}

// Apply checks and replicates an operator's change.
func (s *Server) Apply(ctx context.Context, req *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	return callOnLeader(ctx, s, "Apply", req, &controlpb.ApplyResponse{}, s.applyAsLeader)
}

func (s *Server) applyAsLeader(ctx context.Context, actor string, req *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	if err := checkChangeRequest(req); err != nil {
		return nil, err
	}
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	if err := s.group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	digest, resp, err := s.state().checkChange(req, s.stateMachine.check)
	if resp != nil || err != nil {
		return resp, err
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
		return errkind.New(errkind.BadRequest, "the change id must have 1 to %d bytes", maxKeyBytes)
	case req.Base == nil:
		return errkind.New(errkind.BadRequest, "the change has no base revision")
	case len(req.Upserts)+len(req.Deletes) == 0:
		return errkind.New(errkind.BadRequest, "the change is empty")
	case proto.Size(req) > maxChangeBytes:
		return errkind.New(errkind.TooLarge, "the change exceeds the limit of %d bytes; split it into several changes", maxChangeBytes)
	}
	return nil
}

// checkChange checks a change against the newest state. For a change id that was
// accepted before it returns the response, otherwise the digest of the configuration
// that was checked.
func (s *State) checkChange(req *controlpb.ApplyRequest, check Checker) (uint64, *controlpb.ApplyResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, known := s.previousResult(req); known {
		if r.err != nil {
			return 0, nil, r.err
		}
		return 0, r.msg.(*controlpb.ApplyResponse), nil
	}
	if config.RevisionFromProto(req.Base) != s.rev {
		return 0, nil, s.conflictError(req)
	}
	base := s.newestLocked()
	next, err := base.Apply(nextRevision(s.rev), req.Upserts, req.Deletes)
	if err != nil {
		return 0, nil, err
	}
	if err := check(base, next); err != nil {
		return 0, nil, err
	}
	return s.digestAfter(req), nil, nil
}

// Get returns the configuration at a revision. It is a linearisable read.
func (s *Server) Get(ctx context.Context, req *controlpb.GetRequest) (*controlpb.GetResponse, error) {
	return callOnLeader(ctx, s, "Get", req, &controlpb.GetResponse{}, func(ctx context.Context, _ string, req *controlpb.GetRequest) (*controlpb.GetResponse, error) {
		if err := s.group.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return s.state().Get(req.At)
	})
}

// History returns the audit trail. It is a linearisable read.
func (s *Server) History(ctx context.Context, req *controlpb.HistoryRequest) (*controlpb.HistoryResponse, error) {
	return callOnLeader(ctx, s, "History", req, &controlpb.HistoryResponse{}, func(ctx context.Context, _ string, req *controlpb.HistoryRequest) (*controlpb.HistoryResponse, error) {
		if err := s.group.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return s.state().History(req), nil
	})
}

// Claim records that a request is about to run, unless its key is claimed already.
func (s *Server) Claim(ctx context.Context, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
	return callOnLeader(ctx, s, "Claim", req, &controlpb.ClaimResponse{}, func(ctx context.Context, _ string, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
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

// Settle records the outcome of a claim.
func (s *Server) Settle(ctx context.Context, req *controlpb.SettleRequest) (*controlpb.SettleResponse, error) {
	return callOnLeader(ctx, s, "Settle", req, &controlpb.SettleResponse{}, func(ctx context.Context, _ string, req *controlpb.SettleRequest) (*controlpb.SettleResponse, error) {
		if err := checkClaimKey(req.Key, req.AttemptId); err != nil {
			return nil, err
		}
		if a := req.Answer; a != nil && len(a.Body) > maxAnswerBodyBytes {
			req.Answer = &controlpb.RecordedAnswer{Status: a.Status, ContentType: a.ContentType, NotKept: true}
		}
		if _, err := s.propose(ctx, &statepb.Command{Op: &statepb.Command_Settle{Settle: req}}); err != nil {
			return nil, err
		}
		return &controlpb.SettleResponse{}, nil
	})
}

// Heartbeat records the state of a node and returns the newest revision, confirmed by
// a majority.
func (s *Server) Heartbeat(ctx context.Context, req *controlpb.HeartbeatRequest) (*controlpb.HeartbeatResponse, error) {
	return callOnLeader(ctx, s, "Heartbeat", req, &controlpb.HeartbeatResponse{}, func(ctx context.Context, _ string, req *controlpb.HeartbeatRequest) (*controlpb.HeartbeatResponse, error) {
		if err := s.nodes.recordHeartbeat(req.Node, s.now()); err != nil {
			return nil, err
		}
		if err := s.group.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return &controlpb.HeartbeatResponse{Newest: s.state().Revision().ToProto()}, nil
	})
}

// ChangeVoter adds or removes one voter.
func (s *Server) ChangeVoter(ctx context.Context, req *controlpb.ChangeVoterRequest) (*controlpb.ChangeVoterResponse, error) {
	return callOnLeader(ctx, s, "ChangeVoter", req, &controlpb.ChangeVoterResponse{}, func(ctx context.Context, actor string, req *controlpb.ChangeVoterRequest) (*controlpb.ChangeVoterResponse, error) {
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

// snapshotChunkSize is the size of the chunks that SaveSnapshot sends.
const snapshotChunkSize = 256 << 10

// SaveSnapshot streams a snapshot of the state, current as of the call. Only the leader
// serves it; on any other process it fails with an error that names the leader.
func (s *Server) SaveSnapshot(_ *controlpb.SaveSnapshotRequest, stream controlpb.DRPCControl_SaveSnapshotStream) error {
	if err := s.group.ReadBarrier(stream.Context()); err != nil {
		return s.withLeaderAddress(err)
	}
	var buf bytes.Buffer
	meta := &pb.SnapshotMeta{Index: s.group.AppliedIndex(), Term: s.group.Status().Term}
	if err := storage.WriteSnapshot(&buf, meta, s.state().Snapshot); err != nil {
		return err
	}
	for buf.Len() > 0 {
		if err := stream.Send(&controlpb.SnapshotChunk{Data: buf.Next(snapshotChunkSize)}); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) withLeaderAddress(err error) error {
	id, address := s.group.LeaderAddress()
	if !errkind.Is(err, errkind.NotLeader) || id == "" {
		return err
	}
	return errkind.New(errkind.NotLeader, "this process is not the leader; call the leader %s at %s", id, address)
}

// Status returns the state of the group and of every known node. If the leader cannot
// confirm it with a quorum, Status returns the local view of this process.
func (s *Server) Status(ctx context.Context, req *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	out, err := callOnLeader(ctx, s, "Status", req, &controlpb.StatusResponse{}, func(ctx context.Context, _ string, _ *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, statusBarrierTimeout)
		defer cancel()
		if err := s.group.ReadBarrier(ctx); err != nil {
			return nil, err
		}
		return s.localStatus(), nil
	})
	if err != nil {
		return s.localStatus(), nil
	}
	out.Quorum = true
	return out, nil
}

func (s *Server) localStatus() *controlpb.StatusResponse {
	g := s.group.Status()
	out := &controlpb.StatusResponse{
		Revision: s.state().Revision().ToProto(), Leader: g.Leader, Term: g.Term, CommitIndex: g.Commit,
		Claims: uint64(s.state().ClaimCount()),
	}
	for _, v := range g.Voters.GetVoters() {
		m := g.Progress[v.Id]
		out.Voters = append(out.Voters, &controlpb.VoterStatus{
			Id: v.Id, Address: v.Address, Leader: v.Id == g.Leader, MatchIndex: m.MatchIndex, SilentMs: uint64(m.SilentMs),
		})
	}
	if g.Leading {
		out.Nodes = s.nodes.list(s.now())
	}
	return out
}
