package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
)

func testSet() *config.Set {
	dcs := map[string]*config.DataCentre{}
	for i, weight := range []int{100, 100, 200} {
		name := fmt.Sprintf("dc-%d", i)
		dcs[name] = &config.DataCentre{Name: name, Region: "r", State: config.StateActive, Weight: weight, ReturnRamp: config.Duration(time.Minute)}
	}
	return &config.Set{DataCentres: dcs, Services: map[string]*config.Service{"s": {Name: "s"}}}
}

func TestNegLog2IsClose(t *testing.T) {
	for _, h := range []uint64{1, 3, 1 << 20, 1<<63 + 12345, 1 << 63, math.MaxUint64, 0x123456789abcdef} {
		got := float64(negLog2(h)) / (1 << logFraction)
		want := 64 - math.Log2(float64(h))
		if math.Abs(got-want) > 1e-5 {
			t.Errorf("negLog2(%x) = %f, want %f", h, got, want)
		}
	}
}

func TestWeightsDivideChats(t *testing.T) {
	set, count := testSet(), map[string]int{}
	const chats = 40000
	for i := range chats {
		count[DataCentres(set, "r", "s", ChatHash("w", fmt.Sprint(i)), time.Time{}, nil)[0]]++
	}
	for name, want := range map[string]float64{"dc-0": 0.25, "dc-1": 0.25, "dc-2": 0.5} {
		if got := float64(count[name]) / chats; math.Abs(got-want) > 0.01 {
			t.Errorf("%s has %.3f of the chats, want %.2f", name, got, want)
		}
	}
}

func TestOutMovesOnlyItsOwnChatsAndReturnIsMonotonic(t *testing.T) {
	set, out := testSet(), testSet()
	out.DataCentres["dc-1"].State = config.StateOut
	var returns ReturnTimes
	start := time.Unix(1000, 0)
	returns.Observe(out, start)
	returns.Observe(set, start)
	for i := range 5000 {
		chat := ChatHash("w", fmt.Sprint(i))
		before := DataCentres(set, "r", "s", chat, start, nil)[0]
		during := DataCentres(out, "r", "s", chat, start, nil)[0]
		if before != "dc-1" && before != during {
			t.Fatalf("chat %d moved from %s to %s although its data centre was not taken out", i, before, during)
		}
		back := false
		for at := time.Duration(0); at <= time.Minute; at += 5 * time.Second {
			home := DataCentres(set, "r", "s", chat, start.Add(at), &returns)[0]
			if back && home != "dc-1" {
				t.Fatalf("chat %d left dc-1 again during the return ramp", i)
			}
			if home != before && home != during {
				t.Fatalf("chat %d went to %s, a third data centre", i, home)
			}
			back = home == "dc-1"
		}
		if home := DataCentres(set, "r", "s", chat, start.Add(time.Minute), &returns)[0]; home != before {
			t.Fatalf("chat %d is at %s after the return ramp, want %s", i, home, before)
		}
	}
}

func TestReturnBeginsWithAlmostNothing(t *testing.T) {
	set, out := testSet(), testSet()
	out.DataCentres["dc-2"].State = config.StateOut
	var returns ReturnTimes
	returns.Observe(out, time.Unix(0, 0))
	returns.Observe(set, time.Unix(100, 0))
	first := 0
	for i := range 10000 {
		if DataCentres(set, "r", "s", ChatHash("w", fmt.Sprint(i)), time.Unix(100, 0), returns.Clone())[0] == "dc-2" {
			first++
		}
	}
	if first > 10 {
		t.Errorf("%d of 10000 chats returned at once, want at most 10", first)
	}
}

func TestNoCandidates(t *testing.T) {
	set := testSet()
	if got := DataCentres(set, "elsewhere", "s", 1, time.Time{}, nil); len(got) != 0 {
		t.Errorf("region without data centres gave %v, want none", got)
	}
	if got := DataCentres(set, "r", "unknown", 1, time.Time{}, nil); len(got) != 0 {
		t.Errorf("unknown service gave %v, want none", got)
	}
}

func BenchmarkDataCentres(b *testing.B) {
	set, buf := testSet(), make([]string, 0, maxDataCentres)
	b.ReportAllocs()
	for i := range b.N {
		buf = AppendDataCentres(buf[:0], set, "r", "s", uint64(i), time.Time{}, nil)
	}
}
