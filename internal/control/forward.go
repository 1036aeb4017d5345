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

// leaderTimeout limits the wait for a leader. An election takes about this long.
const leaderTimeout = 2500 * time.Millisecond

// callOnLeader runs a call locally if this process is the leader, and forwards it to
// the leader otherwise. A call that was forwarded already always runs locally.
func callOnLeader[Q, R proto.Message](ctx context.Context, s *Server, method string, req Q, out R, local func(context.Context, string, Q) (R, error)) (R, error) {
	var none R
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	if _, forwarded := ctx.Value(actorKey{}).(string); forwarded {
		return local(ctx, actorOf(ctx), req)
	}
	address, leading, err := s.findLeader(ctx)
	if err != nil {
		return none, err
	}
	if leading {
		return local(ctx, actorOf(ctx), req)
	}
	if err := s.forward(ctx, address, method, req, out); err != nil {
		return none, err
	}
	return out, nil
}

// findLeader waits until a leader is known, for leaderTimeout at most.
func (s *Server) findLeader(ctx context.Context) (address string, leading bool, err error) {
	waitCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	address, leading, err = s.group.AwaitLeader(waitCtx)
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
		return errkind.Wrap(err, errkind.BadRequest, "encode the request of the forwarded call")
	}
	conn := s.dialer.Conn(ctx, address)
	defer conn.Close()
	resp, err := pb.NewDRPCForwardClient(conn).Call(ctx, &pb.ForwardRequest{Method: method, Request: data, Actor: actorOf(ctx)})
	if err != nil {
		return rpc.WrapConnectionError(err, errkind.ChangeUnknown, "the connection to the leader broke before its answer")
	}
	return proto.Unmarshal(resp.Response, out)
}

// forwardServer serves the calls that other control processes forward.
type forwardServer struct{ s *Server }

var _ pb.DRPCForwardServer = forwardServer{}

// Call implements the Forward service. It never forwards a call a second time.
func (f forwardServer) Call(ctx context.Context, req *pb.ForwardRequest) (*pb.ForwardResponse, error) {
	s := f.s
	if !s.group.Status().Leading {
		return nil, errkind.New(errkind.NotLeader, "this process is no longer the leader of the control group; nothing was accepted")
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
		in, call = r, func() (proto.Message, error) { return s.localStatus(), nil }
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
		return nil, errkind.New(errkind.BadRequest, "unknown forwarded call %q", req.Method)
	}
	if err := proto.Unmarshal(req.Request, in); err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "decode the request of the forwarded call")
	}
	out, err := call()
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(out)
	return &pb.ForwardResponse{Response: data}, err
}

// actorKey is the context key of a forwarded call; its value is the identity of the
// client that made the call.
type actorKey struct{}
