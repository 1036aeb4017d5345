package capacity

import (
	"runtime"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Probe measures one quantity.
type Probe struct {
	// Slope names the quantity as role.cost_per_unit.
	Slope string
	// Unit is "B", "ns" or "1".
	Unit string
	// Sizes are the numbers of units to measure at, three or more.
	Sizes []int
	// Run returns the whole cost at the size.
	Run func(size int) (float64, error)
}

// Probes are all that `make measure-capacity` runs.
func Probes() []Probe {
	return slices.Concat(configProbes(), distributionProbes(), grantorProbes(), controlProbes())
}

// Measure runs the probes one after the other, so that they do not disturb one
// another, and returns their samples.
func Measure(probes []Probe, progress func(Sample)) ([]Sample, error) {
	var out []Sample
	for _, p := range probes {
		for _, size := range p.Sizes {
			v, err := p.Run(size)
			if err != nil {
				return nil, errors.Wrapf(err, "%s at %d", p.Slope, size)
			}
			s := Sample{Slope: p.Slope, Size: float64(size), Value: v, Unit: p.Unit}
			progress(s)
			out = append(out, s)
		}
	}
	return out, nil
}

// heapOf returns how many bytes of heap the value that build returns keeps alive.
func heapOf[T any](build func() (T, error)) (float64, error) {
	before := heapInUse()
	v, err := build()
	if err != nil {
		return 0, err
	}
	after := heapInUse()
	runtime.KeepAlive(v)
	return float64(after) - float64(before), nil
}

func heapInUse() uint64 {
	// Two collections: the second frees what finalizers held in the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// medianRounds is how often a timed step is repeated; the median is taken.
const medianRounds = 9

// medianTime returns the median wall-clock nanoseconds of the step.
func medianTime(step func() error) (float64, error) {
	times := make([]time.Duration, 0, medianRounds)
	for range medianRounds {
		began := time.Now()
		if err := step(); err != nil {
			return 0, err
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	return float64(times[medianRounds/2].Nanoseconds()), nil
}
