package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// leaderWait bounds the wait for a leader: an election takes about as long.
const leaderWait = 2500 * time.Millisecond

// route runs a call here if this process leads, else on the leader.
func route[Q, R proto.Message](ctx context.Context, s *Server, method string, req Q, out R, here func(context.Context, string, Q) (R, error)) (R, error) {
	var none R
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	if _, again := ctx.Value(actorKey{}).(string); again {
		return here(ctx, actorOf(ctx), req)
	}
	address, leading, err := s.findLeader(ctx)
	if err != nil {
		return none, err
	}
	if leading {
		return here(ctx, actorOf(ctx), req)
	}
	if err := s.forward(ctx, address, method, req, out); err != nil {
		return none, err
	}
	return out, nil
}

// findLeader waits a while for a leader to be known.
func (s *Server) findLeader(ctx context.Context) (address string, leading bool, err error) {
	waiting, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	address, leading, err = s.group.AwaitLeader(waiting)
	switch {
	case err == nil:
		return address, leading, nil
	case ctx.Err() != nil:
		return "", false, errkind.Wrap(ctx.Err(), errkind.NoQuorum, "the control group has no leader; nothing was accepted")
	}
	return "", false, errkind.New(errkind.NoQuorum, "the control group has no leader; nothing was accepted").WithRetryAfter(time.Second)
}

func (s *Server) forward(ctx context.Context, address, method string, req, out proto.Message) error {
	data, err := proto.Marshal(req)
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "encode the call")
	}
	conn := s.dialer.Conn(ctx, address)
	defer conn.Close()
	resp, err := pb.NewDRPCForwardClient(conn).Call(ctx, &pb.ForwardRequest{Method: method, Request: data, Actor: actorOf(ctx)})
	if err != nil {
		return rpc.KeepWord(err, errkind.ChangeUnknown, "the connection to the leader broke before its answer")
	}
	return proto.Unmarshal(resp.Response, out)
}

// forwarded answers calls that other control processes pass on.
type forwarded struct{ s *Server }

var _ pb.DRPCForwardServer = forwarded{}

// Call implements the Forward service. It never forwards again.
func (f forwarded) Call(ctx context.Context, req *pb.ForwardRequest) (*pb.ForwardResponse, error) {
	s := f.s
	if !s.group.Status().Leading {
		return nil, errkind.New(errkind.NotLeader, "leadership moved; nothing was accepted")
	}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, actorKey{}, req.Actor), callTimeout)
	defer cancel()
	var in proto.Message
	var call func() (proto.Message, error)
	switch req.Method {
	case "Apply":
		r := &controlpb.ApplyRequest{}
		in, call = r, func() (proto.Message, error) { return s.Apply(ctx, r) }
	case "Get":
		r := &controlpb.GetRequest{}
		in, call = r, func() (proto.Message, error) { return s.Get(ctx, r) }
	case "History":
		r := &controlpb.HistoryRequest{}
		in, call = r, func() (proto.Message, error) { return s.History(ctx, r) }
	case "Status":
		r := &controlpb.StatusRequest{}
		in, call = r, func() (proto.Message, error) { return s.statusHere(), nil }
	case "Claim":
		r := &controlpb.ClaimRequest{}
		in, call = r, func() (proto.Message, error) { return s.Claim(ctx, r) }
	case "Settle":
		r := &controlpb.SettleRequest{}
		in, call = r, func() (proto.Message, error) { return s.Settle(ctx, r) }
	case "Heartbeat":
		r := &controlpb.HeartbeatRequest{}
		in, call = r, func() (proto.Message, error) { return s.Heartbeat(ctx, r) }
	case "ChangeVoter":
		r := &controlpb.ChangeVoterRequest{}
		in, call = r, func() (proto.Message, error) { return s.ChangeVoter(ctx, r) }
	default:
		return nil, errkind.New(errkind.BadRequest, "unknown call %q", req.Method)
	}
	if err := proto.Unmarshal(req.Request, in); err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "decode the call")
	}
	out, err := call()
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(out)
	return &pb.ForwardResponse{Response: data}, err
}

// actorKey marks a call that was forwarded, with its client's identity.
type actorKey struct{}
