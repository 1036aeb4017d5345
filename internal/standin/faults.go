package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults holds the fraction of requests, from 0 to 1, that get each kind of fault.
type Faults struct {
	// Refuse responds with status 503 and a header that says that the request was not
	// executed.
	Refuse float64 `yaml:"refuse"`
	// Cut closes the connection before the response is complete.
	Cut float64 `yaml:"cut"`
	// Cross responds with the id of another attempt.
	Cross float64 `yaml:"cross"`
	// Late delays the response by LateBy.
	Late   float64       `yaml:"late"`
	LateBy time.Duration `yaml:"lateBy"`
	// Misanswer sends the response to another request, with the correct attempt
	// id. Routers cannot detect this fault, so a checker has to; it serves to test
	// the checker.
	Misanswer float64 `yaml:"misanswer"`
}

// FaultKind is a kind of fault as written in the ledger.
type FaultKind string

// Kinds of faults.
const (
	FaultNone      FaultKind = ""
	FaultRefuse    FaultKind = "refuse"
	FaultCut       FaultKind = "cut"
	FaultCross     FaultKind = "cross"
	FaultLate      FaultKind = "late"
	FaultMisanswer FaultKind = "misanswer"
)

// FaultInjector draws faults from a seeded random generator. It is safe for
// concurrent use.
type FaultInjector struct {
	mu     sync.Mutex
	rand   *rand.Rand
	faults Faults
}

func NewFaultInjector(f Faults, seed uint64) *FaultInjector {
	return &FaultInjector{rand: rand.New(rand.NewPCG(seed, 1)), faults: f}
}

// Draw draws the fault of the next request, or FaultNone.
func (i *FaultInjector) Draw() FaultKind {
	i.mu.Lock()
	defer i.mu.Unlock()
	x := i.rand.Float64()
	for _, c := range []struct {
		fraction float64
		kind     FaultKind
	}{
		{i.faults.Refuse, FaultRefuse},
		{i.faults.Cut, FaultCut},
		{i.faults.Cross, FaultCross},
		{i.faults.Late, FaultLate},
		{i.faults.Misanswer, FaultMisanswer},
	} {
		if x < c.fraction {
			return c.kind
		}
		x -= c.fraction
	}
	return FaultNone
}

// CutOffset draws the offset at which a response of n bytes is truncated.
func (i *FaultInjector) CutOffset(n int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rand.IntN(max(1, n))
}
