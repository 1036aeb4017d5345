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
	// pollInterval is how often the state is looked at for a change.
	pollInterval = 100 * time.Millisecond
	// callTimeout bounds one heartbeat.
	callTimeout = time.Second
)

// Options are a Sender's parameters. All but Interval and Log are needed.
type Options struct {
	Name       string
	Role       string
	DataCentre string
	// Address is the node's own fleet address.
	Address string
	// Controls are the fleet addresses of the control processes.
	Controls []string
	Dialer   *rpc.Dialer
	// State returns what changes from heartbeat to heartbeat.
	State func() State
	// Interval defaults to DefaultInterval.
	Interval time.Duration
	Log      hclog.Logger
}

// State is the changing part of a heartbeat.
type State struct {
	InForce  config.Revision
	Ready    bool
	Isolated bool
}

// Sender sends a node's heartbeats.
type Sender struct {
	opts        Options
	incarnation string
	// next is the index of the control process that is asked.
	next int
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

// Incarnation identifies this start of the process.
func (s *Sender) Incarnation() string { return s.incarnation }

// Run sends heartbeats until ctx ends: one each interval, and one at once when
// the state has changed. The intervals vary by a tenth, so that nodes started
// together drift apart.
func (s *Sender) Run(ctx context.Context) error {
	poll := time.NewTicker(min(pollInterval, s.opts.Interval))
	defer poll.Stop()
	var due time.Time
	var sent State
	for {
		if st := s.opts.State(); st != sent || !time.Now().Before(due) {
			err := s.beat(ctx, st)
			if err != nil && ctx.Err() == nil {
				s.opts.Log.Debug("heartbeat not answered", "kind", errkind.Of(err), "error", err)
			}
			sent, due = st, time.Now().Add(s.nextInterval())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-poll.C:
		}
	}
}

// nextInterval returns the interval, more or less by a tenth.
func (s *Sender) nextInterval() time.Duration {
	spread := s.opts.Interval / 5
	return s.opts.Interval - spread/2 + time.Duration(rand.Int64N(int64(spread)+1))
}

// beat sends one heartbeat, to each control process in turn until one answers.
func (s *Sender) beat(ctx context.Context, st State) error {
	var err error
	for range s.opts.Controls {
		addr := s.opts.Controls[s.next%len(s.opts.Controls)]
		if err = s.call(ctx, addr, st); err == nil {
			return nil
		}
		s.next++
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
		InForce:     st.InForce.PB(),
		Ready:       st.Ready,
		Isolated:    st.Isolated,
		Address:     s.opts.Address,
	}})
	return err
}
