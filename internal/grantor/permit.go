package grantor

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Permit is a place at one backend server for one run.
type Permit struct {
	// DataCentre, Server, Address and Incarnation say where the run may go.
	DataCentre  string
	Server      string
	Address     string
	Incarnation string
	// Term and ID name the permit. The term serves as fencing number: a later
	// grantor has a higher one.
	Term uint64
	ID   uint64
	// Queued is how long the ask waited at the grantor.
	Queued time.Duration

	link      *link
	workspace string
	service   string
	startBy   time.Time
	deadline  time.Time
	// startedAt is zero before the start. Guarded by link.mu.
	startedAt time.Time
	// result is kept while no session is there to take it. Guarded by link.mu.
	result *grantpb.Result
}

// Result says how a permit's run ended.
type Result struct {
	Outcome errkind.Outcome
	// FirstByte is the time from the start to the first byte of the answer; 0 if none came.
	FirstByte time.Duration
	// Duration is the time from the start to the end.
	Duration     time.Duration
	OutputTokens int
}

// Started must be called just before the first byte is sent to the server. If
// it returns an error, which has the kind no-grantor, the permit must not be
// used; Done must be called all the same, with the outcome not-run.
func (p *Permit) Started() error {
	// The monotonic clock may stand still while a VM is suspended, so the wall
	// clock must allow the start as well.
	now := time.Now()
	if !now.Before(p.startBy) || !now.Round(0).Before(p.startBy.Round(0)) {
		return errkind.New(errkind.NoGrantor, "the permit for %s was not started in time", p.Server)
	}
	p.link.started(p)
	return nil
}

// Done ends the permit. It must be called exactly once.
func (p *Permit) Done(r Result) {
	p.link.finish(p, &grantpb.Result{
		PermitId: p.ID, Term: p.Term, Outcome: outcomes[r.Outcome],
		FirstByteMs: milliseconds(r.FirstByte), DurationMs: milliseconds(r.Duration), OutputTokens: uint32(max(r.OutputTokens, 0)),
	})
}

var outcomes = map[errkind.Outcome]grantpb.Outcome{
	errkind.NotRun:    grantpb.Outcome_OUTCOME_NOT_RUN,
	errkind.Completed: grantpb.Outcome_OUTCOME_COMPLETED,
	errkind.Failed:    grantpb.Outcome_OUTCOME_FAILED,
	errkind.Unknown:   grantpb.Outcome_OUTCOME_UNKNOWN,
}

// milliseconds rounds up, so that a short time doesn't read as none.
func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, (d+time.Millisecond-1)/time.Millisecond))
}
