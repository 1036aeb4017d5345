package streamorigin

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	v1    = Origin{Service: "chat", Version: "v1"}
	v2    = Origin{Service: "chat", Version: "v2"}
)

func TestStreamsOfOtherCallersDiffer(t *testing.T) {
	if StreamOf("a", "1") == StreamOf("b", "1") || StreamOf("a", "1") == StreamOf("a", "2") {
		t.Error("a stream is not identified by its caller and request")
	}
}

func TestRecordsAreKeptForAtLeastOneGeneration(t *testing.T) {
	table, now := NewTable(), epoch
	if _, known := table.Lookup(1); known {
		t.Error("an unknown stream has an origin")
	}
	if !table.Record(1, v1, now) || table.Record(1, v1, now) || !table.Record(1, v2, now) {
		t.Error("only a new origin is a change")
	}
	for _, step := range []struct {
		after time.Duration
		known bool
	}{{generationTime - 1, true}, {generationTime, true}, {2 * generationTime, false}} {
		table.Record(Stream(step.after), v1, epoch.Add(step.after))
		if o, known := table.Lookup(1); known != step.known || known && o != v2 {
			t.Errorf("after %s: %v, %v", step.after, o, known)
		}
	}
}

func TestTheNumberOfRecordsIsLimited(t *testing.T) {
	table := NewTable()
	for s := range Stream(3 * maxGeneration) {
		table.Record(s, v1, epoch)
	}
	if n := len(table.current) + len(table.previous); n > 2*maxGeneration || len(table.Recent(epoch)) > maxRecent {
		t.Errorf("%d records, %d recent", n, len(table.Recent(epoch)))
	}
	if _, known := table.Lookup(3*maxGeneration - 1); !known {
		t.Error("the newest record is not kept")
	}
}

func TestTheLastRecordOfAStreamIsSent(t *testing.T) {
	got := map[Stream]Origin{}
	Decode(Encode([]Record{{Stream: 1, Origin: v1}, {Stream: 2, Origin: v1}, {Stream: 1, Origin: v2}, {Stream: 3, Origin: Origin{Service: "other", Version: "v1"}}}), func(s Stream, o Origin) {
		if _, twice := got[s]; twice {
			t.Errorf("stream %d was sent twice", s)
		}
		got[s] = o
	})
	if len(got) != 3 || got[1] != v2 || got[2] != v1 || got[3].Service != "other" {
		t.Errorf("received %v", got)
	}
}

func streamsOf(origins []*fleetpb.StreamOrigins) (out []Stream) {
	Decode(origins, func(s Stream, _ Origin) { out = append(out, s) })
	slices.Sort(out)
	return out
}

// Guards against a report that is lost with the directory process that it was sent to.
func TestRecentRecordsAreReportedAgainToAnotherProcess(t *testing.T) {
	r := NewRecorder()
	r.Record(1, v1, epoch)
	now := epoch.Add(recentTime)
	r.Record(2, v1, now)
	for i, step := range []struct {
		all  bool
		at   time.Time
		want []Stream
	}{
		{false, now, []Stream{1, 2}},
		{false, now, nil},
		{true, now, []Stream{1, 2}},
		{true, now.Add(1), []Stream{2}},
		{true, now.Add(recentTime + 1), nil},
	} {
		if got, _ := r.Report(step.all, step.at); !slices.Equal(streamsOf(got), step.want) {
			t.Errorf("report %d: %v, want %v", i, streamsOf(got), step.want)
		}
	}
	for s := range Stream(2 * maxPending) {
		r.Record(10+s, v1, now)
	}
	if got, _ := r.Report(false, now); len(streamsOf(got)) != maxPending {
		t.Errorf("%d records reported at once", len(streamsOf(got)))
	}
}

func TestLookupsAreAskedOnceAndAnswered(t *testing.T) {
	r := NewRecorder()
	r.Record(1, v1, epoch)
	if o, known, _ := r.Lookup(context.Background(), 1, func() { t.Error("the directory was asked for a known stream") }, nil); !known || o != v1 {
		t.Errorf("own stream: %v, %v", o, known)
	}
	type result struct {
		origin              Origin
		known, serversKnown bool
	}
	asked, results := make(chan bool, 4), make(chan result, 4)
	var suffice atomic.Bool
	lookUp := func(ctx context.Context, s Stream) {
		go func() {
			o, known, serversKnown := r.Lookup(ctx, s, func() { asked <- true }, func() bool { return suffice.Load() })
			results <- result{o, known, serversKnown}
		}()
		<-asked
	}
	lookUp(context.Background(), 2)
	lookUp(context.Background(), 2)
	if _, lookups := r.Report(false, epoch); !slices.Equal(lookups, []uint64{2}) {
		t.Errorf("asked for %v", lookups)
	}
	if _, lookups := r.Report(false, epoch); len(lookups) != 0 {
		t.Errorf("asked again for %v", lookups)
	}
	if _, lookups := r.Report(true, epoch); !slices.Equal(lookups, []uint64{2}) {
		t.Errorf("another process was asked for %v", lookups)
	}
	r.Answer(Encode([]Record{{Stream: 2, Origin: v2}}), nil, false, epoch)
	for range 2 {
		if got := <-results; !got.known || got.origin != v2 {
			t.Errorf("answered %v", got)
		}
	}
	for _, serversKnown := range []bool{false, true} {
		lookUp(context.Background(), 3)
		r.Answer(nil, []uint64{3}, serversKnown, epoch)
		if got := <-results; got.known || got.serversKnown != serversKnown {
			t.Errorf("an unknown stream, servers known %t: %v", serversKnown, got)
		}
	}
	// All servers are known: the request waits for the origin only if they do not suffice.
	lookUp(context.Background(), 5)
	r.ConfirmServers([]uint64{5, 6})
	r.Answer(Encode([]Record{{Stream: 5, Origin: v2}}), nil, false, epoch)
	if got := <-results; !got.known || got.origin != v2 {
		t.Errorf("an origin that follows: %v", got)
	}
	suffice.Store(true)
	lookUp(context.Background(), 6)
	r.ConfirmServers([]uint64{6})
	if got := <-results; got.known || !got.serversKnown {
		t.Errorf("the servers suffice: %v", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	lookUp(ctx, 4)
	cancel()
	if got := <-results; got.known || got.serversKnown || len(r.lookups) != 0 {
		t.Errorf("after the request ended: %v, %d lookups are left", got, len(r.lookups))
	}
}
