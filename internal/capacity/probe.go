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
	// Sizes are the numbers of units to measure at; at least three.
	Sizes []int
	// Run returns the total cost at the size.
	Run func(size int) (float64, error)
}

// Probes returns the probes that `make measure-capacity` runs.
func Probes() []Probe {
	return slices.Concat(configProbes(), distributionProbes(), grantorProbes(), controlProbes())
}

// Measure runs the probes and returns their samples. The probes run sequentially,
// because concurrent ones would distort each other's results.
func Measure(probes []Probe, progress func(Sample)) ([]Sample, error) {
	var out []Sample
	for _, p := range probes {
		for _, size := range p.Sizes {
			v, err := p.Run(size)
			if err != nil {
				return nil, errors.Wrapf(err, "probe %s at size %d", p.Slope, size)
			}
			s := Sample{Slope: p.Slope, Size: float64(size), Value: v, Unit: p.Unit}
			progress(s)
			out = append(out, s)
		}
	}
	return out, nil
}

// retainedHeap returns the number of heap bytes that the value returned by build
// retains.
func retainedHeap[T any](build func() (T, error)) (float64, error) {
	before := liveHeap()
	v, err := build()
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(v)
	return float64(after) - float64(before), nil
}

func liveHeap() uint64 {
	// The second collection frees objects that finalizers kept alive in the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// medianRounds is the number of runs of a timed step, of which the median is taken.
const medianRounds = 9

// medianTime returns the median wall-clock time of the step in nanoseconds.
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
