package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the parts of requests, from 0 to 1, that meet a fault.
type Faults struct {
	// Refuse answers 503 and says that nothing ran.
	Refuse float64 `yaml:"refuse"`
	// Cut closes the connection inside the answer.
	Cut float64 `yaml:"cut"`
	// Cross answers with another attempt's id and answer.
	Cross float64 `yaml:"cross"`
	// Late holds the answer back by LateBy.
	Late   float64       `yaml:"late"`
	LateBy time.Duration `yaml:"lateBy"`
	// Misanswer gives another request's answer under the right attempt id. No
	// router can see it, so a checker must: it proves the checker.
	Misanswer float64 `yaml:"misanswer"`
}

// FaultKind names a fault in the ledger.
type FaultKind string

// The kinds of faults.
const (
	FaultNone      FaultKind = ""
	FaultRefuse    FaultKind = "refuse"
	FaultCut       FaultKind = "cut"
	FaultCross     FaultKind = "cross"
	FaultLate      FaultKind = "late"
	FaultMisanswer FaultKind = "misanswer"
)

// Injector draws faults by seed. It is safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	rand   *rand.Rand
	faults Faults
}

// NewInjector returns an injector.
func NewInjector(f Faults, seed uint64) *Injector {
	return &Injector{rand: rand.New(rand.NewPCG(seed, 1)), faults: f}
}

// Draw returns the fault of the next request.
func (i *Injector) Draw() FaultKind {
	i.mu.Lock()
	defer i.mu.Unlock()
	x := i.rand.Float64()
	for _, c := range []struct {
		part float64
		kind FaultKind
	}{
		{i.faults.Refuse, FaultRefuse},
		{i.faults.Cut, FaultCut},
		{i.faults.Cross, FaultCross},
		{i.faults.Late, FaultLate},
		{i.faults.Misanswer, FaultMisanswer},
	} {
		if x < c.part {
			return c.kind
		}
		x -= c.part
	}
	return FaultNone
}

// Offset draws the byte at which an answer of n bytes is cut.
func (i *Injector) Offset(n int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rand.IntN(max(1, n))
}
