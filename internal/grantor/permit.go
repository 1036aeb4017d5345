package grantor

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Permit allows one run of a request at one backend server. It takes one slot there.
type Permit struct {
	// DataCentre, Server, Address and Incarnation identify the backend server.
	DataCentre  string
	Server      string
	Address     string
	Incarnation string
	// Term and ID identify the permit. Term is the grantor's lease term and serves
	// as a fencing token: a later grantor has a higher one.
	Term uint64
	ID   uint64
	// Queued is how long the request was queued at the grantor.
	Queued time.Duration

	link          *link
	workspace     string
	service       string
	startDeadline time.Time
	runDeadline   time.Time
	// startedAt is zero before the start. Guarded by link.mu.
	startedAt time.Time
	// result is set by Done, and kept until it is queued on a session. Guarded by
	// link.mu.
	result *grantpb.Result
}

// RunResult is the outcome of a permit's run.
type RunResult struct {
	Outcome errkind.Outcome
	// FirstByte is the time from the start to the first byte of the response; 0 if
	// there was none.
	FirstByte time.Duration
	// Duration is the time from the start of the run to its end.
	Duration     time.Duration
	OutputTokens int
}

// Start records the start of the run. It must be called just before the first
// byte is sent to the server. If it returns an error, whose kind is no-grantor,
// the start window has passed: the permit must not be used, but Done must still
// be called, with the outcome not-run.
func (p *Permit) Start() error {
	// The monotonic clock may stand still while a VM is suspended, so the start
	// must be in time by the wall clock as well.
	now := time.Now()
	if !now.Before(p.startDeadline) || !now.Round(0).Before(p.startDeadline.Round(0)) {
		return errkind.New(errkind.NoGrantor, "the start window of the permit for backend server %s has passed", p.Server)
	}
	p.link.reportStarted(p)
	return nil
}

// Done ends the permit and reports the result of its run. It must be called
// exactly once.
func (p *Permit) Done(r RunResult) {
	p.link.reportResult(p, &grantpb.Result{
		PermitId: p.ID, Term: p.Term, Outcome: wireOutcomes[r.Outcome],
		FirstByteMs: milliseconds(r.FirstByte), DurationMs: milliseconds(r.Duration), OutputTokens: uint32(max(r.OutputTokens, 0)),
	})
}

var wireOutcomes = map[errkind.Outcome]grantpb.Outcome{
	errkind.NotRun:    grantpb.Outcome_OUTCOME_NOT_RUN,
	errkind.Completed: grantpb.Outcome_OUTCOME_COMPLETED,
	errkind.Failed:    grantpb.Outcome_OUTCOME_FAILED,
	errkind.Unknown:   grantpb.Outcome_OUTCOME_UNKNOWN,
}

// milliseconds rounds up, so that a time of less than 1 ms is not sent as zero.
func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, (d+time.Millisecond-1)/time.Millisecond))
}
