package measure

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Request is a request of a chat in the trace.
type Request struct {
	// At is the arrival time from the start of the trace.
	At        time.Duration
	Workspace int
	Chat      uint64
	// HistoryTokens is the number of tokens of the earlier turns of the chat.
	HistoryTokens int
	// SharedTokens is the number of tokens of the prompt prefix that all requests of
	// the workspace share.
	SharedTokens int
	// NewTokens is the number of prompt tokens that this turn adds.
	NewTokens int
	// OutputTokens is the number of tokens that the engine generates.
	OutputTokens int
	Priority     int
}

// PromptTokens returns the length of the prompt, of which the engine computes what is
// not in its cache.
func (r Request) PromptTokens() int { return r.SharedTokens + r.HistoryTokens + r.NewTokens }

// TraceConfig describes the trace to generate.
type TraceConfig struct {
	Seed uint64
	// Length of the trace.
	Length time.Duration
	// Rate of requests per second without surges.
	Rate float64
	// Workspaces is the number of workspaces; chats are Zipf-distributed over them.
	Workspaces int
	// PauseMedian is the median time from one turn of a chat to the next.
	PauseMedian time.Duration
	// A surge multiplies the rate of SurgeWorkspaces small workspaces by SurgeFactor
	// from SurgeFrom to SurgeTo.
	SurgeFactor     float64
	SurgeWorkspaces int
	SurgeFrom       time.Duration
	SurgeTo         time.Duration
}

// Parameters of the generated chats. Pauses and token counts are log-normal.
const (
	meanTurns           = 6
	pauseSigma          = 1.1
	newMedian           = 60
	newSigma            = 0.9
	outputMedian        = 130
	outputSigma         = 0.9
	maxTokens           = 4000
	sharedMin           = 400
	sharedSpread        = 1600
	zipfExponent        = 1.1
	interactivePriority = 7
	plannerPriority     = 1
	// plannerShare is the fraction of chats with the priority of planners.
	plannerShare = 0.15
	// surgeWorkspaces is the number of workspaces with a surge.
	surgeWorkspaces = 2
)

// Generate returns the trace. It depends only on the configuration.
func Generate(c TraceConfig) []Request {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	zipf := rand.NewZipf(rng, zipfExponent, 4, uint64(c.Workspaces-1))
	shared := make([]int, c.Workspaces)
	for i := range shared {
		shared[i] = sharedMin + rng.IntN(sharedSpread)
	}
	g := &generator{cfg: c, rng: rng, shared: shared}
	chatRate := c.Rate / meanTurns
	// Chats that start before the trace contribute their later turns, so that the
	// request rate is steady from the start.
	warm := 3 * c.PauseMedian
	for at := -warm; at < c.Length; at += g.interarrival(chatRate) {
		g.addChat(at, int(zipf.Uint64()))
	}
	if c.SurgeFactor > 1 {
		g.addSurge()
	}
	sort.SliceStable(g.requests, func(i, j int) bool { return g.requests[i].At < g.requests[j].At })
	return g.requests
}

type generator struct {
	cfg      TraceConfig
	rng      *rand.Rand
	shared   []int
	requests []Request
}

func (g *generator) interarrival(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.rng.NormFloat64())
}

func (g *generator) tokens(median, sigma float64) int {
	return 1 + min(int(g.logNormal(median, sigma)), maxTokens)
}

func (g *generator) addChat(at time.Duration, workspace int) {
	id := g.rng.Uint64()
	prio := interactivePriority
	if g.rng.Float64() < plannerShare {
		prio = plannerPriority
	}
	history := 0
	for {
		r := Request{
			At: at, Workspace: workspace, Chat: id, SharedTokens: g.shared[workspace], HistoryTokens: history,
			NewTokens: g.tokens(newMedian, newSigma), OutputTokens: g.tokens(outputMedian, outputSigma), Priority: prio,
		}
		if at >= 0 && at < g.cfg.Length {
			g.requests = append(g.requests, r)
		}
		history += r.NewTokens + r.OutputTokens
		if g.rng.Float64() < 1.0/meanTurns || at >= g.cfg.Length {
			return
		}
		at += time.Duration(g.logNormal(float64(g.cfg.PauseMedian), pauseSigma))
	}
}

// maySurge reports whether the workspace is one of those with a surge in the
// scenarios that have one.
func (c TraceConfig) maySurge(workspace int) bool {
	first := c.Workspaces / 2
	return workspace >= first && workspace < first+surgeWorkspaces
}

// addSurge adds the extra chats of the workspaces with a surge.
func (g *generator) addSurge() {
	// The workspaces in the middle of the Zipf distribution are small but not idle.
	first := g.cfg.Workspaces / 2
	calm := g.cfg.Rate / float64(g.cfg.Workspaces)
	rate := calm * (g.cfg.SurgeFactor - 1) / meanTurns
	for w := first; w < first+g.cfg.SurgeWorkspaces && w < g.cfg.Workspaces; w++ {
		for at := g.cfg.SurgeFrom; at < g.cfg.SurgeTo; at += g.interarrival(rate) {
			g.addChat(at, w)
		}
	}
}
