package measure

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Request is one recorded request of a chat.
type Request struct {
	// At is when it arrives, from the trace's start.
	At        time.Duration
	Workspace int
	Chat      uint64
	// History is how many tokens of the chat came before this turn.
	History int
	// Shared is how many tokens of the workspace's common prompt start the request.
	Shared int
	// New is how many tokens this turn adds.
	New int
	// Output is how many tokens the engine generates.
	Output   int
	Priority int
}

// Prompt is the number of tokens that the engine must have in its cache or compute.
func (r Request) Prompt() int { return r.Shared + r.History + r.New }

// TraceConfig describes the trace to generate.
type TraceConfig struct {
	Seed uint64
	// Length of the trace.
	Length time.Duration
	// Rate of requests per second in the calm part.
	Rate float64
	// Workspaces that share the chats, by a Zipf law.
	Workspaces int
	// PauseMedian is the median time from one turn of a chat to the next.
	PauseMedian time.Duration
	// Surges multiply the rate of the first SurgeWorkspaces small workspaces.
	SurgeFactor     float64
	SurgeWorkspaces int
	SurgeFrom       time.Duration
	SurgeTo         time.Duration
}

// Shape of the generated chats.
const (
	meanTurns     = 6
	pauseSigma    = 1.1
	newMedian     = 60
	newSigma      = 0.9
	outputMedian  = 130
	outputSigma   = 0.9
	maxTokens     = 4000
	sharedMin     = 400
	sharedSpread  = 1600
	zipfExponent  = 1.1
	interactivePr = 7
	plannerPr     = 1
	// plannerShare is the part of chats that planners hold.
	plannerShare = 0.15
	// surgeWorkspaces is the number of workspaces that may surge.
	surgeWorkspaces = 2
)

// Generate makes the trace; it depends on nothing but the configuration.
func Generate(c TraceConfig) []Request {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	zipf := rand.NewZipf(rng, zipfExponent, 4, uint64(c.Workspaces-1))
	shared := make([]int, c.Workspaces)
	for i := range shared {
		shared[i] = sharedMin + rng.IntN(sharedSpread)
	}
	g := &generator{cfg: c, rng: rng, shared: shared}
	chatRate := c.Rate / meanTurns
	// Chats that began before the trace are part of it, so that the rate is even from the start.
	warm := 3 * c.PauseMedian
	for at := -warm; at < c.Length; at += g.gap(chatRate) {
		g.chat(at, int(zipf.Uint64()))
	}
	if c.SurgeFactor > 1 {
		g.surge()
	}
	sort.SliceStable(g.out, func(i, j int) bool { return g.out[i].At < g.out[j].At })
	return g.out
}

type generator struct {
	cfg    TraceConfig
	rng    *rand.Rand
	shared []int
	out    []Request
}

func (g *generator) gap(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.rng.NormFloat64())
}

func (g *generator) tokens(median, sigma float64) int {
	return 1 + min(int(g.logNormal(median, sigma)), maxTokens)
}

func (g *generator) chat(at time.Duration, workspace int) {
	id := g.rng.Uint64()
	prio := interactivePr
	if g.rng.Float64() < plannerShare {
		prio = plannerPr
	}
	history := 0
	for {
		r := Request{
			At: at, Workspace: workspace, Chat: id, Shared: g.shared[workspace], History: history,
			New: g.tokens(newMedian, newSigma), Output: g.tokens(outputMedian, outputSigma), Priority: prio,
		}
		if at >= 0 && at < g.cfg.Length {
			g.out = append(g.out, r)
		}
		history += r.New + r.Output
		if g.rng.Float64() < 1.0/meanTurns || at >= g.cfg.Length {
			return
		}
		at += time.Duration(g.logNormal(float64(g.cfg.PauseMedian), pauseSigma))
	}
}

// surges reports whether the workspace is one of those that surge where the
// scenario has a surge.
func (c TraceConfig) surges(workspace int) bool {
	first := c.Workspaces / 2
	return workspace >= first && workspace < first+surgeWorkspaces
}

// surge adds chats of the surging workspaces, which are small in calm times.
func (g *generator) surge() {
	// The workspaces in the middle of the Zipf law are small but not idle.
	first := g.cfg.Workspaces / 2
	calm := g.cfg.Rate / float64(g.cfg.Workspaces)
	rate := calm * (g.cfg.SurgeFactor - 1) / meanTurns
	for w := first; w < first+g.cfg.SurgeWorkspaces && w < g.cfg.Workspaces; w++ {
		for at := g.cfg.SurgeFrom; at < g.cfg.SurgeTo; at += g.gap(rate) {
			g.chat(at, w)
		}
	}
}
