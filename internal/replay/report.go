package replay

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

// Report is the result of a replay.
type Report struct {
	Requests  int            `json:"requests"`
	Exchanges int            `json:"exchanges"`
	Seconds   float64        `json:"seconds"`
	Finals    map[string]int `json:"finals"` // kind of request / final state
	// Answers counts exchanges by status and error kind.
	Answers map[string]int `json:"answers"`
	Resumes int            `json:"resumes"`
	Broken  int            `json:"broken"`
	// BrokenUndisturbed counts those of Broken at routers that were not killed, paused
	// or stopped at the time.
	BrokenUndisturbed int       `json:"brokenUndisturbed"`
	NotSent           int       `json:"notSent"`
	Latencies         []Latency `json:"latencies"`
	// Quiet and Moving are the service outside and during moves of data centres: while
	// one is evacuated, and for returnGrace afterwards.
	Quiet  Service `json:"quiet"`
	Moving Service `json:"moving"`
	// CacheReuse is the fraction of prompt tokens that were in the engine's prefix cache.
	CacheReuse   float64 `json:"cacheReuse"`
	PromptTokens int64   `json:"promptTokens"`
	Skews        []Skew  `json:"skews"`
	// ControlBytesMean and ControlBytesMax are in bytes per second: the mean over the
	// routers and the maximum.
	ControlBytesMean float64        `json:"controlBytesMean"`
	ControlBytesMax  float64        `json:"controlBytesMax"`
	Faults           map[string]int `json:"faults"` // injected by the stand-ins
	Events           map[string]int `json:"events"` // actions on the fleet
	Promises         []Promise      `json:"promises"`
}

// Latency is a latency distribution in milliseconds.
type Latency struct {
	Name  string  `json:"name"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// NewReport checks the observation and summarises it.
func NewReport(o Observation) Report {
	r := Report{
		Requests:  len(o.Results),
		Exchanges: len(o.Exchanges),
		Finals:    map[string]int{},
		Answers:   map[string]int{},
		Faults:    map[string]int{},
		Events:    map[string]int{},
		Promises:  Check(o),
	}
	for _, res := range o.Results {
		r.Finals[fmt.Sprintf("%s / %s", o.Records[res.Record].Kind, res.Final)]++
		r.Resumes += res.Resumes
	}
	for _, e := range o.Events {
		r.Events[string(e.Action)]++
	}
	r.addExchanges(o)
	r.addLedger(o)
	r.addService(o)
	r.Latencies = latencies(o)
	r.addControlBytes(o.Samples)
	return r
}

// Violations returns the number of violations.
func (r Report) Violations() int {
	n := 0
	for _, p := range r.Promises {
		n += len(p.Violations)
	}
	return n
}

func (r *Report) addExchanges(o Observation) {
	disturbed := disturbances(o.Events)
	var first, last time.Time
	for _, e := range o.Exchanges {
		switch {
		case e.NotSent:
			r.NotSent++
		case e.Error != "":
			r.Broken++
			if !disturbedDuring(disturbed, e.Router, e.Sent, e.Ended) {
				r.BrokenUndisturbed++
			}
		default:
			r.Answers[fmt.Sprintf("%d %s", e.Status, e.Kind)]++
		}
		if first.IsZero() || e.Sent.Before(first) {
			first = e.Sent
		}
		if e.Ended.After(last) {
			last = e.Ended
		}
	}
	r.Seconds = last.Sub(first).Seconds()
}

func (r *Report) addLedger(o Observation) {
	var cached int64
	for _, e := range o.Ledger {
		switch e.Event {
		case standin.EventEnd:
			cached += int64(e.CachedTokens)
			r.PromptTokens += int64(e.PromptTokens)
		case standin.EventFault:
			r.Faults[e.Fault]++
		}
	}
	if r.PromptTokens > 0 {
		r.CacheReuse = float64(cached) / float64(r.PromptTokens)
	}
	r.Skews = newLoadHistory(o.Ledger, o.Bounds.SkewWindow).skews(o.Bounds, func(pool, int, string, float64, float64) {})
}

// addControlBytes adds up the differences between samples. Negative differences are
// skipped, because a restart resets the counter.
func (r *Report) addControlBytes(samples []Sample) {
	type sum struct {
		last    Sample
		bytes   int64
		seconds float64
	}
	sums := map[string]*sum{}
	for _, s := range samples {
		if !s.Reached {
			continue
		}
		t := sums[s.Router]
		if t == nil {
			sums[s.Router] = &sum{last: s}
			continue
		}
		if grown := s.ControlBytes - t.last.ControlBytes; grown >= 0 {
			t.bytes += grown
			t.seconds += s.At.Sub(t.last.At).Seconds()
		}
		t.last = s
	}
	for _, t := range sums {
		if t.seconds > 0 {
			rate := float64(t.bytes) / t.seconds
			r.ControlBytesMean += rate / float64(len(sums))
			r.ControlBytesMax = max(r.ControlBytesMax, rate)
		}
	}
}

const (
	latencyMax    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 3
)

func latencies(o Observation) []Latency {
	hists := map[string]*hdrhistogram.Histogram{}
	add := func(name string, d time.Duration) {
		h := hists[name]
		if h == nil {
			h = hdrhistogram.New(1, latencyMax, latencyDigits)
			hists[name] = h
		}
		_ = h.RecordValue(max(1, d.Microseconds()))
	}
	for _, res := range o.Results {
		if res.Final != FinalCompleted {
			continue
		}
		rec := o.Records[res.Record]
		add(string(rec.Kind)+", whole answer", res.Total)
		if rec.Kind == trace.KindModel && rec.Stream {
			add(string(rec.Kind)+", first byte of a stream", res.FirstByte)
		}
	}
	var out []Latency
	for name, h := range hists {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out = append(out, Latency{Name: name, Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("requests %d, HTTP exchanges %d, in %.1f s; streams resumed by callers %d, exchanges cut %d (%d at routers that nothing was done to), connections refused %d", r.Requests, r.Exchanges, r.Seconds, r.Resumes, r.Broken, r.BrokenUndisturbed, r.NotSent)
	writeCounts(p, "how requests ended", r.Finals)
	writeCounts(p, "answers by status and error kind", r.Answers)
	writeCounts(p, "faults brought about by the stand-ins", r.Faults)
	writeCounts(p, "done to the fleet", r.Events)
	p("\nlatency in ms %31s %8s %8s %8s %8s", "count", "p50", "p95", "p99", "max")
	for _, l := range r.Latencies {
		p("  %-32s %9d %8.1f %8.1f %8.1f %8.1f", l.Name, l.Count, l.P50, l.P95, l.P99, l.Max)
	}
	p("\nservice %37s %8s %8s %8s %12s", "requests", "whole", "p50", "p95", "cache reuse")
	for _, v := range []struct {
		name string
		Service
	}{{"while data centres stay", r.Quiet}, {"while one is out, and 10 s after", r.Moving}} {
		p("  %-32s %9d %7.2f%% %8.1f %8.1f %11.1f%%", v.name, v.Requests, 100*v.Whole, v.P50, v.P95, 100*v.CacheReuse)
	}
	p("\ncache reuse: %.1f%% of %d prompt tokens", 100*r.CacheReuse, r.PromptTokens)
	p("\nload, in flight per server %18s %8s %8s %8s %14s", "servers", "mean", "max", "max/mean", "worst window")
	for _, s := range r.Skews {
		ratio := 0.0
		if s.Mean > 0 {
			ratio = s.Max / s.Mean
		}
		p("  %-32s %9d %8.2f %8.2f %8.2f %14.2f", s.Service+" in "+s.DataCentre, s.Servers, s.Mean, s.Max, ratio, s.WorstWindow)
	}
	p("\ncontrol traffic: %.0f bytes per router and second, highest %.0f", r.ControlBytesMean, r.ControlBytesMax)
	p("\npromises %55s %10s", "checked", "violations")
	for _, pr := range r.Promises {
		p("  %-52s %9d %10d", pr.Name, pr.Checked, len(pr.Violations))
	}
	for _, pr := range r.Promises {
		for _, v := range pr.Violations {
			p("VIOLATION of %s: %s", pr.Name, v)
		}
	}
}

func writeCounts(p func(string, ...any), title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	p("\n%s", title)
	names := make([]string, 0, len(counts))
	for n := range counts {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		p("  %-40s %8d", n, counts[n])
	}
}
