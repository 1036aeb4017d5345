package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	// DefaultInterval is the time between heartbeats.
	DefaultInterval = 2 * time.Second
	// pollInterval is how often the state is checked for a change.
	pollInterval = 100 * time.Millisecond
	// callTimeout limits one heartbeat call.
	callTimeout = time.Second
)

// Options are a Sender's parameters. All but Interval and Log are required.
type Options struct {
	Name       string
	Role       string
	DataCentre string
	// Address is the fleet address of the node.
	Address string
	// ControlAddresses are the fleet addresses of the control processes.
	ControlAddresses []string
	Dialer           *rpc.Dialer
	// State returns the current state of the node.
	State func() State
	// Interval defaults to DefaultInterval.
	Interval time.Duration
	Log      hclog.Logger
}

// State is the part of a heartbeat that changes while the process runs.
type State struct {
	InForce  config.Revision
	Ready    bool
	Isolated bool
}

// Sender sends a node's heartbeats.
type Sender struct {
	opts        Options
	incarnation string
	// controlIndex selects the control process that is called.
	controlIndex int
}

// NewSender returns a Sender with a new incarnation.
func NewSender(o Options) *Sender {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	return &Sender{opts: o, incarnation: uuid.NewString()}
}

// Incarnation returns the id of this start of the process.
func (s *Sender) Incarnation() string { return s.incarnation }

// Run sends heartbeats until ctx ends: one per interval, and one as soon as a change
// of the state is seen. Intervals have a jitter of a tenth, so that nodes started
// together do not stay synchronised.
func (s *Sender) Run(ctx context.Context) error {
	poll := time.NewTicker(min(pollInterval, s.opts.Interval))
	defer poll.Stop()
	var nextHeartbeat time.Time
	var sent State
	for {
		if st := s.opts.State(); st != sent || !time.Now().Before(nextHeartbeat) {
			err := s.sendHeartbeat(ctx, st)
			if err != nil && ctx.Err() == nil {
				s.opts.Log.Debug("heartbeat failed at all control processes", "kind", errkind.Of(err), "error", err)
			}
			sent, nextHeartbeat = st, time.Now().Add(s.jitteredInterval())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-poll.C:
		}
	}
}

// jitteredInterval returns the interval with a random jitter of up to a tenth of it in
// either direction.
func (s *Sender) jitteredInterval() time.Duration {
	jitter := s.opts.Interval / 5
	return s.opts.Interval - jitter/2 + time.Duration(rand.Int64N(int64(jitter)+1))
}

// sendHeartbeat sends one heartbeat, trying each control process until one answers.
func (s *Sender) sendHeartbeat(ctx context.Context, st State) error {
	var err error
	for range s.opts.ControlAddresses {
		addr := s.opts.ControlAddresses[s.controlIndex%len(s.opts.ControlAddresses)]
		if err = s.call(ctx, addr, st); err == nil {
			return nil
		}
		s.controlIndex++
	}
	return err
}

func (s *Sender) call(ctx context.Context, addr string, st State) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := s.opts.Dialer.Conn(ctx, addr)
	defer conn.Close()
	_, err := controlpb.NewDRPCControlClient(conn).Heartbeat(ctx, &controlpb.HeartbeatRequest{Node: &controlpb.NodeStatus{
		Name:        s.opts.Name,
		Role:        s.opts.Role,
		DataCentre:  s.opts.DataCentre,
		Incarnation: s.incarnation,
		InForce:     st.InForce.ToProto(),
		Ready:       st.Ready,
		Isolated:    st.Isolated,
		Address:     s.opts.Address,
	}})
	return err
}
