package forward

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func event(n int) streamEvent { return streamEvent{id: fmt.Sprint(n), hasData: true} }

// Guards against a response joined from several servers that lacks an event, has one twice, or ends
// as whole before an event that a server had.
func TestJoinedStreamsHaveEachEventOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(57, 1))
	for round := range 20_000 {
		numbering, has := &numbering{}, 0
		for attempt := 0; attempt < 4; attempt++ {
			c := continuity{numbering: numbering}
			if has > 0 {
				c.after, c.fromEarlier = positionAfter(fmt.Sprint(has)), rng.IntN(2) == 0
			}
			// The server writes some consecutive events, often not those asked for, and sometimes goes back.
			from, count, whole := has+1, rng.IntN(5), rng.IntN(2) == 0
			if has > 0 && rng.IntN(2) == 0 {
				from = max(1, has-2+rng.IntN(6))
			}
			var numbers []int
			for n := from; len(numbers) < count; n++ {
				numbers = append(numbers, n)
				if rng.IntN(8) == 0 {
					n = max(0, n-1-rng.IntN(4))
				}
			}
			var err error
			for _, n := range numbers {
				var isNew bool
				if isNew, err = c.isNew(event(n)); err != nil {
					break
				}
				if isNew {
					if n != has+1 {
						t.Fatalf("round %d: event %d is passed on after event %d", round, n, has)
					}
					has = n
				}
			}
			if err == nil && whole && c.end() == nil {
				if has > 0 && (count == 0 || numbers[count-1] != has) && !(attempt == 0 && count == 0) {
					t.Fatalf("round %d: events %v end a stream with %d events as whole", round, numbers, has)
				}
				break
			}
		}
	}
}

// Guards against taking a service's own numbering for missing events, where it leaves some numbers out, and
// against believing one server that numbers its events otherwise.
func TestNumberingFollowsMostOfTheEvents(t *testing.T) {
	n := &numbering{}
	write := func(numbers ...int) {
		c := continuity{numbering: n}
		for _, number := range numbers {
			if isNew, err := c.isNew(event(number)); !isNew || err != nil {
				t.Fatalf("event %d: new %t, %v", number, isNew, err)
			}
		}
	}
	if !n.isConsecutive() {
		t.Error("a new service does not count as numbering its events consecutively")
	}
	for range 5 {
		write(1, 2, 3, 4, 5)
	}
	write(1, 9)
	if !n.isConsecutive() {
		t.Error("one step among 21 decides")
	}
	for range 4 {
		write(1, 2, 3, 5, 6, 7, 9, 10)
	}
	if n.isConsecutive() {
		t.Error("numbers of which some are left out count as consecutive")
	}
	c := continuity{numbering: n, after: positionAfter("10")}
	if isNew, err := c.isNew(event(15)); !isNew || err != nil {
		t.Errorf("the next step: new %t, %v", isNew, err)
	}
}

// Guards against resumptions that are refused for as long again as a service has run, since a new version of it
// numbers its events otherwise: steps of long ago count no more.
func TestAServiceThatNumbersOtherwiseIsSoonBelieved(t *testing.T) {
	n := &numbering{}
	for i := range uint64(1_000_000) {
		n.record(i, i+1)
	}
	steps := 0
	for ; n.isConsecutive() && steps < 1_000_000; steps++ {
		n.record(5, 10)
	}
	if steps == 1 || steps > maxCounted/minConsecutiveRatio {
		t.Errorf("believed after %d steps, want %d at most", steps, maxCounted/minConsecutiveRatio)
	}
	for steps = 0; !n.isConsecutive() && steps < 1_000_000; steps++ {
		n.record(1, 2)
	}
	if steps > 2*maxCounted {
		t.Errorf("consecutive again after %d steps, want %d at most", steps, 2*maxCounted)
	}
}

// Guards against events that come twice, and runs that are joined, where the ids that one server writes do not
// rise: in a first run, after the seam of a continuation, and where ids are no numbers. A dot marks what has no data,
// which keeps a connection with the id before, and is no event.
func TestARunWhoseIDsDoNotRiseIsBroken(t *testing.T) {
	for _, tc := range []struct {
		after, ids, want string
		broken           bool
	}{
		{"", "0 0 0", "0", true},
		{"", "1 1 2", "1", true},
		{"", "5 3 4", "5", true},
		{"", "7 007", "7", true},
		{"", "1 2 3 4 4 5", "1 2 3 4", true},
		{"", "1 2 3 1 2 3", "1 2 3", true},
		{"", "1 2 3 4 2 3 4 5", "1 2 3 4", true},
		{"", "1 - 1", "1 -", true},
		{"", "1 x 1", "1 x", true},
		{"", "a a", "a", true},
		{"", "a - a", "a -", true},
		{"3", "4 5 5 6", "4 5", true},
		{"3", "4 5 4 5 6", "4 5", true},
		{"3", "1 2 3 4 3 4 5", "4", true},
		{"3", "4 1 2 3 4 5", "4", true},
		{"c", "c d", "", true},
		{"c", "d c", "d", true},
		{"c", "1 2 2", "1 2", true},
		{"", "1 2 1. 3", "1 2", true},
		{"3", "3 1 2 4 5", "", true},
		{"3", "2 3 3. 4", "4", false},
		{"", "0 1 2", "0 1 2", false},
		{"", "1 2. 2. 3", "1 2. 3", false},
		{"", "1 2 2. 3", "1 2 3", false},
		{"", "a a. b", "a b", false},
		{"3", "4 4. 5", "4 5", false},
		{"", "7 14 21", "7 14 21", false},
		{"", "1 - 2 - -", "1 - 2 - -", false},
		{"", "a b a", "a b a", false},
		{"3", "1 2 3 2 3 4 5", "", true},
		{"3", "3 3", "", true},
		{"c", "d e", "d e", false},
	} {
		c, passedOn, broken := continuity{numbering: &numbering{}, after: positionAfter(tc.after)}, []string{}, false
		for _, id := range strings.Fields(tc.ids) {
			isNew, err := c.isNew(streamEvent{id: strings.Trim(id, "-."), hasData: !strings.HasSuffix(id, ".")})
			if broken = err != nil; broken {
				if !errors.Is(err, errNotRising) {
					t.Errorf("after %q, %s: %v", tc.after, tc.ids, err)
				}
				break
			}
			if isNew {
				passedOn = append(passedOn, id)
			}
		}
		if got := strings.Join(passedOn, " "); got != tc.want || broken != tc.broken {
			t.Errorf("after %q, %s: passed on %s, broken %t, want %s, %t", tc.after, tc.ids, got, broken, tc.want, tc.broken)
		}
	}
}

// Guards against irregular ids that operators cannot tell, and against lines about services that number
// otherwise, or of which too little is known; a stream is not cut for them.
func TestIrregularIDsAreReported(t *testing.T) {
	for _, tc := range []struct {
		consecutive, other int
		first              bool
		ids, want          string
	}{
		{1000, 50, true, "1 2 5 6", "skipping 5 2"},
		{1000, 50, true, "3 4", "beginning_late 3 "},
		{1000, 50, true, "1 2 2", "not_rising 2 2"},
		{1000, 50, true, "0 1 2", ""},
		{1000, 50, false, "3 4", ""},
		{0, 0, true, "3 5 7", ""},
		{1000, 200, true, "3 5 7", ""},
	} {
		c, got := continuity{numbering: &numbering{steps: tally{tc.consecutive, tc.other}, starts: tally{tc.consecutive, tc.other}}, isFirst: tc.first}, ""
		c.observe = func(what irregularity, id, previous string) { got += fmt.Sprint(what, " ", id, " ", previous) }
		for _, id := range strings.Fields(tc.ids) {
			if _, err := c.isNew(streamEvent{id: id, hasData: true}); (err != nil) != strings.HasPrefix(got, string(idsDoNotRise)) {
				t.Errorf("%+v: %v", tc, err)
			}
		}
		if got != tc.want {
			t.Errorf("%+v: reported %q", tc, got)
		}
	}
}

// Guards against events without an id that a client is sent twice: a server that writes the last event again writes
// what comes before it again, too.
func TestEventsWithoutAnIDBeforeTheLastOneAreNotPassedOnAgain(t *testing.T) {
	const unnumbered = "data: x\n\n"
	for name, tc := range map[string]struct {
		fromEarlier bool
		texts, want string
		// whole is set if the stream ends as whole, broken if an event is missing.
		whole, broken bool
	}{
		"the last one again":          {true, unnumbered + text("3") + unnumbered, unnumbered, true, false},
		"from the first event":        {false, text("1") + unnumbered + text("3") + unnumbered + text("4"), unnumbered + text("4"), true, false},
		"goes on":                     {false, unnumbered + text("4"), unnumbered + text("4"), true, false},
		"no event with an id":         {false, unnumbered, unnumbered, true, false},
		"no event with an id, again":  {true, unnumbered, "", false, false},
		"an earlier one, then none":   {true, text("2") + unnumbered, "", false, false},
		"nothing but a comment again": {true, ": still there\n\n", "", false, false},
		"nothing but a comment":       {false, ": still there\n\n", "", false, false},
		"a comment, then the next":    {false, ": still there\n\n" + text("4") + ": x\n\n", text("4") + ": x\n\n", true, false},
		"a comment after such a one":  {false, unnumbered + ": x\n\n" + text("4"), unnumbered + ": x\n\n" + text("4"), true, false},
		"the last one is left out":    {true, unnumbered + text("4"), "", false, true},
		"before the first event":      {false, unnumbered + text("1") + text("2") + text("3") + text("4"), unnumbered, false, true},
		"before the last one":         {false, unnumbered + text("3") + text("4"), unnumbered, false, true},
		"it is left out later":        {false, text("2") + unnumbered + text("4"), "", false, true},
	} {
		c := continuity{numbering: &numbering{}, after: positionAfter("3"), fromEarlier: tc.fromEarlier}
		got, broken := "", false
		for _, e := range strings.SplitAfter(tc.texts, "\n\n") {
			if e == "" {
				continue
			}
			isNew, err := c.isNew(parseEvent([]byte(e)))
			if broken = err != nil; broken {
				break
			}
			if isNew {
				got += e
			}
		}
		if whole := !broken && c.end() == nil; broken != tc.broken || got != tc.want || whole != tc.whole {
			t.Errorf("%s: passed on %q, whole %t, broken %t, want %q, %t, %t", name, got, whole, broken, tc.want, tc.whole, tc.broken)
		}
	}
}
