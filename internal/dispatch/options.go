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

// Permits grants slots at backend servers. The kind of an error of Acquire
// states why the permit was refused; a refused request has not run.
type Permits interface {
	Acquire(ctx context.Context, dataCentre string, ask *grantpb.Ask) (Permit, error)
}

// Permit is a slot at one backend server for one run. Done must be called once.
type Permit interface {
	Server() string
	Address() string
	// Start is called immediately before the first byte is sent. An error means
	// that the permit may no longer be used. Start must not block.
	Start() error
	Done(res RunResult)
}

// RunResult is the result of the run under a permit.
type RunResult struct {
	Outcome errkind.Outcome
	// FirstByte is the time from sending the request to the first byte of a
	// stream. It is 0 for other responses, whose first byte arrives only when the
	// whole run is done.
	FirstByte time.Duration
	Duration  time.Duration
	// OutputTokens is the number of streamed events.
	OutputTokens int
}

// Claims records requests that may not be repeated, on a quorum.
type Claims interface {
	// Claim retries a lost call with the same attempt id until ctx ends.
	Claim(ctx context.Context, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error)
	// Settle records the outcome. If it cannot be recorded at once, Settle
	// returns and keeps trying in the background.
	Settle(ctx context.Context, req *controlpb.SettleRequest)
}

// Limits limits the resources of the router that clients and servers can use. A
// zero field means the default.
type Limits struct {
	// BodyTimeout limits how long a client may take to send a request body;
	// default 15s.
	BodyTimeout time.Duration
	// ClientWriteTimeout limits how long a write to a client that does not read
	// may block; default 20s.
	ClientWriteTimeout time.Duration
	// TotalBodyBytes limits the request bodies of all requests together; default
	// 256 MiB.
	TotalBodyBytes int64
	// MaxResumeAttempts limits consecutive reconnections to a server without a
	// new byte; default 4.
	MaxResumeAttempts int
}

const (
	defaultBodyTimeout        = 15 * time.Second
	defaultClientWriteTimeout = 20 * time.Second
	defaultTotalBodyBytes     = 256 << 20
	defaultMaxResumeAttempts  = 4
)

// WithDefaults returns the limits with the defaults filled in.
func (l Limits) WithDefaults() Limits {
	if l.BodyTimeout <= 0 {
		l.BodyTimeout = defaultBodyTimeout
	}
	if l.ClientWriteTimeout <= 0 {
		l.ClientWriteTimeout = defaultClientWriteTimeout
	}
	if l.TotalBodyBytes <= 0 {
		l.TotalBodyBytes = defaultTotalBodyBytes
	}
	if l.MaxResumeAttempts <= 0 {
		l.MaxResumeAttempts = defaultMaxResumeAttempts
	}
	return l
}

// Options configures a Dispatcher. All fields but Limits and Now are required.
type Options struct {
	// RouterName is the name of this process.
	RouterName string
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() *config.Set
	// DataCentreOrder returns the data centres that may serve the chat, best
	// first.
	DataCentreOrder func(set *config.Set, service string, chat uint64, now time.Time) []string
	Permits         Permits
	Claims          Claims
	Log             hclog.Logger
	Metrics         *telemetry.Registry
	Limits          Limits
	// Now defaults to time.Now.
	Now func() time.Time
}
