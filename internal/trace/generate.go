package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// returnsToRecent is the part of returns that pick a recently used chat.
const returnsToRecent = 0.85

// lookupNames is how many different names lookups ask for.
const lookupNames = 500

type chat struct {
	workspace string
	name      string
	messages  []int
	// free is when the chat may return.
	free time.Duration
}

type generator struct {
	p       Profile
	rand    *rand.Rand
	weights []float64 // cumulative, of the workspaces
	system  map[string]int
	chats   []*chat // least recently used first
	opened  int
	keys    int
	now     time.Duration
}

// Generate returns a trace of the profile; equal seeds give equal traces.
func Generate(p Profile, seed uint64) []Record {
	g := &generator{p: p, rand: rand.New(rand.NewPCG(seed, 2)), system: map[string]int{}}
	sum := 0.0
	for i, w := range p.Workspaces {
		sum += 1 / math.Pow(float64(i+1), p.Skew)
		g.weights = append(g.weights, sum)
		g.system[w] = g.length(p.System)
	}
	var out []Record
	for at := g.gap(); at < p.Duration; at += g.gap() {
		g.now = at
		r := g.record()
		r.AtMs = at.Milliseconds()
		out = append(out, r)
		if r.Kind == Once && g.rand.Float64() < p.ResendPart {
			r.Resend = true
			r.AtMs += int64(g.rand.Float64() * float64(p.ResendAfter.Milliseconds()))
			out = append(out, r)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMs < out[j].AtMs })
	return out
}

// gap draws the time to the next request of a Poisson process.
func (g *generator) gap() time.Duration {
	return time.Duration(g.rand.ExpFloat64() / g.p.Rate * float64(time.Second))
}

func (g *generator) record() Record {
	x := g.rand.Float64()
	switch {
	case x < g.p.ModelPart:
		return g.model()
	case x < g.p.ModelPart+g.p.LookupPart:
		path := g.p.LookupPaths[g.rand.IntN(len(g.p.LookupPaths))]
		return Record{Kind: Lookup, Workspace: g.workspace(), Path: fmt.Sprint(path, g.rand.IntN(lookupNames))}
	default:
		g.keys++
		return Record{
			Kind: Once, Workspace: g.workspace(), Chat: fmt.Sprintf("desk-%d", g.rand.IntN(lookupNames)),
			Path: g.p.OncePaths[g.rand.IntN(len(g.p.OncePaths))], Key: fmt.Sprintf("%s-%05d", g.p.Name, g.keys),
		}
	}
}

func (g *generator) model() Record {
	c := g.pick()
	c.messages = append(c.messages, g.length(g.p.Question))
	answer := g.length(g.p.Output)
	r := Record{
		Kind: Model, Workspace: c.workspace, Chat: c.name, Path: g.p.ModelPath,
		Messages: append([]int(nil), c.messages...), MaxTokens: answer, Stream: g.rand.Float64() < g.p.StreamPart,
	}
	c.messages = append(c.messages, answer)
	c.free = g.now + g.p.MinPause
	return r
}

// pick returns a new chat, or one that returns, and makes it the last used.
func (g *generator) pick() *chat {
	if len(g.chats) == 0 || (g.opened < g.p.Chats && g.rand.Float64() < g.p.NewChat) {
		return g.open()
	}
	lo := 0
	if g.rand.Float64() < returnsToRecent {
		lo = max(0, len(g.chats)-g.p.RecentChats)
	}
	i := lo + g.rand.IntN(len(g.chats)-lo)
	c := g.chats[i]
	if c.free > g.now {
		return g.open()
	}
	g.chats = append(g.chats[:i], g.chats[i+1:]...)
	if len(c.messages) >= g.p.MaxMessages {
		return g.open()
	}
	g.chats = append(g.chats, c)
	return c
}

func (g *generator) open() *chat {
	g.opened++
	w := g.workspace()
	c := &chat{workspace: w, name: fmt.Sprintf("chat-%05d", g.opened), messages: []int{g.system[w]}}
	g.chats = append(g.chats, c)
	return c
}

func (g *generator) workspace() string {
	x := g.rand.Float64() * g.weights[len(g.weights)-1]
	return g.p.Workspaces[sort.SearchFloat64s(g.weights, x)]
}

func (g *generator) length(l Length) int {
	n := int(l.Median * math.Exp(l.Sigma*g.rand.NormFloat64()))
	return min(max(1, n), l.Max)
}
