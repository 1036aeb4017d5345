package dispatch

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Permits gives places at backend servers. The error of Ask has the kind of the
// refusal; a refused ask has not run.
type Permits interface {
	Ask(ctx context.Context, dataCentre string, ask *grantpb.Ask) (Permit, error)
}

// Permit is a place at one backend server for one run. Done must be called once.
type Permit interface {
	Server() string
	Address() string
	// Started is called immediately before the first byte is sent; an error means
	// that the permit may not be used any more. It must not wait.
	Started() error
	Done(res RunResult)
}

// RunResult is what became of a permit's run.
type RunResult struct {
	Outcome errkind.Outcome
	// FirstByte is the time from sending to the first byte of a stream. It is 0
	// for other answers, whose first byte comes when the whole run is done.
	FirstByte time.Duration
	Duration  time.Duration
	// OutputTokens is the number of streamed events.
	OutputTokens int
}

// Claims records requests that may not be repeated, on a quorum.
type Claims interface {
	// Claim resends a lost call under the same attempt id until ctx ends.
	Claim(ctx context.Context, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error)
	// Settle records the outcome. It returns at once if it can't be recorded now,
	// and goes on trying in the background.
	Settle(ctx context.Context, req *controlpb.SettleRequest)
}

// Limits bound what callers and servers can take of the router. Zero fields get
// the default.
type Limits struct {
	// BodyTime bounds the time in which a caller sends its body; default 15s.
	BodyTime time.Duration
	// StallTime bounds how long a caller may take no byte of its answer; default 20s.
	StallTime time.Duration
	// BodyBytes bounds the bodies held by all requests together; default 256 MiB.
	BodyBytes int64
	// ResumeTries bounds reconnections to a server without a new byte; default 4.
	ResumeTries int
}

const (
	defaultBodyTime    = 15 * time.Second
	defaultStallTime   = 20 * time.Second
	defaultBodyBytes   = 256 << 20
	defaultResumeTries = 4
)

// WithDefaults returns the limits with the defaults filled in.
func (l Limits) WithDefaults() Limits {
	if l.BodyTime <= 0 {
		l.BodyTime = defaultBodyTime
	}
	if l.StallTime <= 0 {
		l.StallTime = defaultStallTime
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.ResumeTries <= 0 {
		l.ResumeTries = defaultResumeTries
	}
	return l
}

// Options are what a Dispatcher works with. All but Limits and Now are needed.
type Options struct {
	// Router is this process's name.
	Router string
	// Config returns the declarations in force, or nil before the first.
	Config func() *config.Set
	// Order returns the data centres that may serve the chat, best first.
	Order   func(set *config.Set, service string, chat uint64, now time.Time) []string
	Permits Permits
	Claims  Claims
	Log     hclog.Logger
	Metrics *telemetry.Registry
	Limits  Limits
	// Now defaults to time.Now.
	Now func() time.Time
}
