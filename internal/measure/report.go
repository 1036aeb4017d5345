package measure

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Size is a fleet size and the trace that is replayed on it.
type Size struct {
	Name  string
	Fleet FleetConfig
	Trace TraceConfig
}

// Sizes returns the sizes to measure: the current one, an intermediate one and the
// target. The larger sizes have shorter traces and shorter pauses between turns.
func Sizes() []Size {
	size := func(name string, routers, engines, dcs int, rate float64, length, pause time.Duration, workspaces int) Size {
		return Size{
			Name:  name,
			Fleet: FleetConfig{Routers: routers, Engines: engines, DataCentres: dcs, Slots: 16, ColdSlots: 2, CacheTokens: 120_000},
			Trace: TraceConfig{Seed: 20261203, Length: length, Rate: rate, Workspaces: workspaces, PauseMedian: pause},
		}
	}
	return []Size{
		size("8 routers, 20 runners, 10 workspaces, 30 min", 8, 20, 3, 22, 30*time.Minute, 2*time.Minute, 10),
		size("50 routers, 300 runners, 1,400 workspaces, 5 min", 50, 300, 3, 330, 5*time.Minute, 40*time.Second, 1400),
		size("330 routers, 2,400 runners, 11,000 workspaces, 75 s", 330, 2400, 8, 2640, 75*time.Second, 12*time.Second, 11000),
	}
}

// Result holds the figures of one policy in one scenario at one size.
type Result struct {
	Size     string
	Scenario string
	Policy   string
	// Reuse is the fraction of reusable prompt tokens that engines had cached.
	Reuse float64
	// SkewMax and SkewP99 are the maximum and the 99th percentile of the ratio of the
	// highest load in a pool to the pool's mean.
	SkewMax, SkewP99 float64
	// OverAtStart counts starts after which the server was over its bound, OverEver the
	// load changes after which some server was.
	OverAtStart, OverEver int64
	ColdOver, OutStarts   int64
	Requests              int64
	Refused               int64
	Retries               int64
	// P50, P95 and P99 are percentiles of the first-token latency of interactive requests.
	P50, P95, P99 time.Duration
	PlannerP95    time.Duration
	// OthersP95 is P95 without the two workspaces that may surge.
	OthersP95 time.Duration
	// Moved is the fraction of returns that went to another server although the previous
	// one was available.
	Moved float64
	// Changes counts servers that joined or left and data centres that were evacuated
	// or returned to service.
	Changes        int64
	BytesPerRouter float64
}

// Run measures all policies in all scenarios at the given sizes, in parallel. The
// results depend only on the seeds.
func Run(sizes []Size) ([]Result, error) {
	type job struct {
		size     Size
		scenario Scenario
		policy   int
	}
	var jobs []job
	names := policyNames()
	for _, sz := range sizes {
		for _, sc := range Scenarios() {
			for p := range names {
				jobs = append(jobs, job{sz, sc, p})
			}
		}
	}
	results := make([]Result, len(jobs))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, j := range jobs {
		g.Go(func() error {
			r, err := runOne(j.size, j.scenario, policies()[j.policy])
			results[i] = r
			return err
		})
	}
	return results, g.Wait()
}

func policyNames() []string {
	var out []string
	for _, p := range policies() {
		out = append(out, p.Name())
	}
	return out
}

func runOne(sz Size, sc Scenario, p Policy) (Result, error) {
	tc := sz.Trace
	if sc.Surge {
		tc.SurgeFactor, tc.SurgeWorkspaces = 20, surgeWorkspaces
		tc.SurgeFrom, tc.SurgeTo = tc.Length/3, 2*tc.Length/3
	}
	fc := sz.Fleet
	fc.ReportLag = sc.Lag
	s := newSim(fc, Generate(tc), tc.Seed)
	s.metrics.maySurge = tc.maySurge
	if sc.schedule != nil {
		sc.schedule(s, tc.Length)
	}
	m := s.run(p)
	return summarise(sz, sc, p, m, tc.Length), nil
}

func summarise(sz Size, sc Scenario, p Policy, m *Metrics, length time.Duration) Result {
	us := func(prio int, q float64) time.Duration {
		return time.Duration(m.firstToken[prio].ValueAtQuantile(q)) * time.Microsecond
	}
	return Result{
		Size: sz.Name, Scenario: sc.Name, Policy: p.Name(),
		Reuse:   float64(m.reusedTokens) / float64(max(1, m.reusableTokens)),
		SkewMax: float64(m.skewRatios.Max()) / ratioScale, SkewP99: float64(m.skewRatios.ValueAtQuantile(99)) / ratioScale,
		OverAtStart: m.overAtStart, OverEver: m.overEver, ColdOver: m.coldOver, OutStarts: m.evacuatedStarts,
		Requests: m.requests, Refused: m.refused, Retries: m.retries,
		Moved: float64(m.moved) / float64(max(1, m.returns)), Changes: m.fleetChanges,
		P50: us(interactivePriority, 50), P95: us(interactivePriority, 95), P99: us(interactivePriority, 99),
		PlannerP95:     us(plannerPriority, 95),
		OthersP95:      time.Duration(m.othersFirstToken.ValueAtQuantile(95)) * time.Microsecond,
		BytesPerRouter: float64(m.controlBytes) / float64(sz.Fleet.Routers) / length.Seconds(),
	}
}

// WriteMarkdown writes the results as Markdown tables.
func WriteMarkdown(w io.Writer, results []Result) error {
	var b strings.Builder
	b.WriteString("# Placement, measured by replay in virtual time\n\n")
	b.WriteString("Reproduce with `make measure`; the figures depend on the seeds alone.\n\n")
	b.WriteString(legend)
	size, scenario := "", ""
	for _, r := range results {
		if r.Size != size {
			size = r.Size
			fmt.Fprintf(&b, "\n## %s\n", size)
			scenario = ""
		}
		if r.Scenario != scenario {
			scenario = r.Scenario
			fmt.Fprintf(&b, "\n### %s\n\n", scenario)
			b.WriteString("| policy | reuse % | of oracle % | skew max | skew p99 | over at start | over ever | cold over | out starts | refused | retries | moved % | changes | first p50 ms | p95 | p99 | others p95 | planner p95 | control B/s per router |\n")
			b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
		}
		writeRow(&b, r, oracleReuse(results, r))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

const legend = `- **reuse**: cached prompt tokens over those that had been seen before; **of oracle**: relative to the policy that knows every cache.
- **skew**: the most loaded server of a data centre over the mean, sampled at every start and end while the mean is over 2.
- **over at start**: requests sent to a server beyond 1.25 × the mean of its data centre's ready servers (admission.LoadLimit); **over ever**: events at which some server was beyond it, also because the mean fell.
- **cold over**: requests sent to a cold server beyond what it bears; **out starts**: requests sent to a data centre later than 5 s after it was taken out.
- **refused**, **retries**: counts; **moved**: returns of a chat that went to another server although its last one was there, in a run with so many **changes** of the list of servers; **first**: time to the first token of interactive requests, virtual milliseconds; **others**: of the workspaces outside the two that surge in that scenario.
`

func writeRow(b *strings.Builder, r Result, oracle float64) {
	ms := func(d time.Duration) string { return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond)) }
	fmt.Fprintf(b, "| %s | %.1f | %.1f | %.2f | %.2f | %d | %d | %d | %d | %d | %d | %.1f | %d | %s | %s | %s | %s | %s | %.0f |\n",
		r.Policy, 100*r.Reuse, 100*r.Reuse/oracle, r.SkewMax, r.SkewP99, r.OverAtStart, r.OverEver, r.ColdOver, r.OutStarts,
		r.Refused, r.Retries, 100*r.Moved, r.Changes, ms(r.P50), ms(r.P95), ms(r.P99), ms(r.OthersP95), ms(r.PlannerP95), r.BytesPerRouter)
}

func oracleReuse(results []Result, r Result) float64 {
	for _, o := range results {
		if o.Size == r.Size && o.Scenario == r.Scenario && o.Policy == oracleName {
			return o.Reuse
		}
	}
	return 1
}
