package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// recentReturnFraction is the fraction of continued chats that are picked from the
// recently used ones.
const recentReturnFraction = 0.85

// lookupNameCount is the number of different names in lookup paths and in the Chat
// field of calls that must not be repeated.
const lookupNameCount = 500

type chat struct {
	workspace string
	name      string
	messages  []int
	// earliestReturn is the time from which the chat may be continued.
	earliestReturn time.Duration
}

type generator struct {
	profile            Profile
	rand               *rand.Rand
	cumulativeWeights  []float64 // of the workspaces, for drawing one at random
	systemPromptTokens map[string]int
	chats              []*chat // least recently used first
	chatsOpened        int
	keyCount           int
	now                time.Duration
}

// Generate generates a trace from a profile. Equal seeds give equal traces.
func Generate(p Profile, seed uint64) []Record {
	g := &generator{profile: p, rand: rand.New(rand.NewPCG(seed, 2)), systemPromptTokens: map[string]int{}}
	sum := 0.0
	for i, w := range p.Workspaces {
		sum += 1 / math.Pow(float64(i+1), p.Skew)
		g.cumulativeWeights = append(g.cumulativeWeights, sum)
		g.systemPromptTokens[w] = g.randomLength(p.SystemPrompt)
	}
	var out []Record
	for at := g.interArrivalTime(); at < p.Duration; at += g.interArrivalTime() {
		g.now = at
		r := g.nextRecord()
		r.AtMs = at.Milliseconds()
		out = append(out, r)
		if r.Kind == KindOnce && g.rand.Float64() < p.ResendFraction {
			r.Resend = true
			r.AtMs += int64(g.rand.Float64() * float64(p.MaxResendDelay.Milliseconds()))
			out = append(out, r)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMs < out[j].AtMs })
	return out
}

// interArrivalTime draws the time to the next request of a Poisson process.
func (g *generator) interArrivalTime() time.Duration {
	return time.Duration(g.rand.ExpFloat64() / g.profile.Rate * float64(time.Second))
}

func (g *generator) nextRecord() Record {
	x := g.rand.Float64()
	switch {
	case x < g.profile.ModelFraction:
		return g.modelRecord()
	case x < g.profile.ModelFraction+g.profile.LookupFraction:
		path := g.profile.LookupPaths[g.rand.IntN(len(g.profile.LookupPaths))]
		return Record{Kind: KindLookup, Workspace: g.randomWorkspace(), Path: fmt.Sprint(path, g.rand.IntN(lookupNameCount))}
	default:
		g.keyCount++
		return Record{
			Kind: KindOnce, Workspace: g.randomWorkspace(), Chat: fmt.Sprintf("desk-%d", g.rand.IntN(lookupNameCount)),
			Path: g.profile.OncePaths[g.rand.IntN(len(g.profile.OncePaths))], Key: fmt.Sprintf("%s-%05d", g.profile.Name, g.keyCount),
		}
	}
}

func (g *generator) modelRecord() Record {
	c := g.nextChat()
	c.messages = append(c.messages, g.randomLength(g.profile.Question))
	responseTokens := g.randomLength(g.profile.Output)
	r := Record{
		Kind: KindModel, Workspace: c.workspace, Chat: c.name, Path: g.profile.ModelPath,
		Messages: append([]int(nil), c.messages...), MaxTokens: responseTokens, Stream: g.rand.Float64() < g.profile.StreamFraction,
	}
	c.messages = append(c.messages, responseTokens)
	c.earliestReturn = g.now + g.profile.MinPause
	return r
}

// nextChat returns a new chat or an earlier one to be continued, and makes it the
// most recently used.
func (g *generator) nextChat() *chat {
	if len(g.chats) == 0 || (g.chatsOpened < g.profile.MaxNewChats && g.rand.Float64() < g.profile.NewChatFraction) {
		return g.openChat()
	}
	lo := 0
	if g.rand.Float64() < recentReturnFraction {
		lo = max(0, len(g.chats)-g.profile.RecentChats)
	}
	i := lo + g.rand.IntN(len(g.chats)-lo)
	c := g.chats[i]
	if c.earliestReturn > g.now {
		return g.openChat()
	}
	g.chats = append(g.chats[:i], g.chats[i+1:]...)
	if len(c.messages) >= g.profile.MaxMessages {
		return g.openChat()
	}
	g.chats = append(g.chats, c)
	return c
}

func (g *generator) openChat() *chat {
	g.chatsOpened++
	w := g.randomWorkspace()
	c := &chat{workspace: w, name: fmt.Sprintf("chat-%05d", g.chatsOpened), messages: []int{g.systemPromptTokens[w]}}
	g.chats = append(g.chats, c)
	return c
}

func (g *generator) randomWorkspace() string {
	x := g.rand.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	return g.profile.Workspaces[sort.SearchFloat64s(g.cumulativeWeights, x)]
}

func (g *generator) randomLength(l LengthDistribution) int {
	n := int(l.Median * math.Exp(l.Sigma*g.rand.NormFloat64()))
	return min(max(1, n), l.Max)
}
