package forward

import (
	"bytes"
	"cmp"
	"strconv"
	"sync"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// minConsecutiveRatio is how many consecutive steps there are at least for each other one of a service whose
	// events count as numbered consecutively. A faulty server makes some others.
	minConsecutiveRatio = 10
	// maxCounted is the number of steps at which the counts are halved, so that those of a service that
	// numbers its events otherwise from now on decide after a tenth as many at most.
	maxCounted = 4096
	// minShown is from how many consecutive steps, or streams that begin with event 1, on others of a service
	// are reported.
	minShown = 100
)

// tally counts what is consecutive and what is not.
type tally struct{ consecutive, other int }

func (t *tally) record(isConsecutive bool) {
	if t.consecutive+t.other >= maxCounted {
		t.consecutive, t.other = t.consecutive/2, t.other/2
	}
	if isConsecutive {
		t.consecutive++
	} else {
		t.other++
	}
}

// isConsecutive reports whether at least so many were consecutive, and by far the most.
func (t *tally) isConsecutive(atLeast int) bool {
	return t.consecutive >= max(atLeast, minConsecutiveRatio*t.other)
}

// numbering records whether a service numbers the events of its streams consecutively, from 1 on. It is safe
// for concurrent use.
type numbering struct {
	mu            sync.Mutex
	steps, starts tally
}

// record counts two numbers that followed each other in what one server wrote. It reports whether the step is
// odd: not consecutive, though the service has shown that its steps are.
func (n *numbering) record(previous, next uint64) (isOdd bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isOdd = next != previous+1 && n.steps.isConsecutive(minShown)
	n.steps.record(next == previous+1)
	return isOdd
}

// recordStart counts the first number of a stream, and reports whether it is odd likewise.
func (n *numbering) recordStart(first uint64) (isOdd bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isOdd = first > 1 && n.starts.isConsecutive(minShown)
	n.starts.record(first <= 1)
	return isOdd
}

// isConsecutive reports whether numbers that are left out stand for missing events. That is assumed
// until streams show otherwise.
func (n *numbering) isConsecutive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.steps.isConsecutive(0)
}

// position is the place in a stream up to which the client has its events.
type position struct {
	// last is the number of the last event; valid if known is set.
	last  uint64
	known bool
	// id is the id of that event, which may be no number; empty if there is none.
	id string
}

// positionAfter returns the position after the event with an id.
func positionAfter(id string) position {
	n, err := strconv.ParseUint(id, 10, 64)
	return position{last: n, known: err == nil, id: id}
}

// streamEvent is one event of a stream.
type streamEvent struct {
	text []byte
	// id is the event's id; empty if it has none.
	id string
	// hasData is set unless the event consists of comments and other fields only.
	hasData bool
	// isSeveral is set if clients that end lines at CR alone, too, find more than one event in the text.
	isSeveral bool
}

// parseEvent returns the event of a text, which ends with an empty line. A line may end with CR alone.
func parseEvent(text []byte) streamEvent {
	e := streamEvent{text: text}
	begun, ended := false, false
	for rest := text; len(rest) > 0; {
		n := bytes.IndexAny(rest, "\r\n")
		if n < 0 {
			n = len(rest)
		}
		line := rest[:n]
		rest = rest[n:]
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			rest = rest[1:]
		}
		rest = rest[min(1, len(rest)):]
		if len(line) == 0 {
			ended = begun
			continue
		}
		begun, e.isSeveral = true, e.isSeveral || ended
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data"))
	}
	return e
}

// errSeveralEvents means that what is one event by its lines that end with LF has empty lines that end with CR alone.
var errSeveralEvents = errkind.New(errkind.StreamBroken, "an empty line that ends with CR alone is not supported as the end of an event")

// errNotRising means that a server wrote an event whose id does not rise: it repeats events, or joins two runs.
var errNotRising = errkind.New(errkind.StreamBroken, "the ids of events do not rise")

// continuity checks that what one server writes follows the events that the client has, and rises.
type continuity struct {
	numbering *numbering
	// after is the position at which the server is to go on; not known for a new stream.
	after position
	// isFirst is set if the server was not asked to go on.
	isFirst bool
	// fromEarlier is set if the server was asked to go on one event earlier, to write the last one that the
	// client has again.
	fromEarlier bool
	// read is the position of the server, and joined is set once an event was new.
	read   position
	joined bool
	// lastID is the id of the server's last event with an id.
	lastID string
	// unnumbered is set once a new event without a number had data.
	unnumbered bool
	// skipped is set once an event with data and without a number was dropped.
	skipped bool
	// server is the id of the server that writes. observe, if set, is called with an irregularity and the ids of the
	// two events that followed each other there.
	server  string
	observe func(what irregularity, id, previous string)
}

// irregularity is what is irregular in the ids that one server writes.
type irregularity string

const (
	idsDoNotRise irregularity = "not_rising"
	// idsSkip and idsBeginLate are reported of services that have shown that they number consecutively, from 1 on.
	// Such events are passed on: only rising ids are promised.
	idsSkip      irregularity = "skipping"
	idsBeginLate irregularity = "beginning_late"
)

func (c *continuity) report(what irregularity, id, previous string) {
	if c.observe != nil {
		c.observe(what, id, previous)
	}
}

// notRising returns the error for an event whose id does not rise. There is none if it has no data and the id before:
// that is no event to clients, but keeps their connection.
func (c *continuity) notRising(e streamEvent, previous string) error {
	if !e.hasData && e.id == previous {
		return nil
	}
	c.report(idsDoNotRise, e.id, previous)
	return errkind.Wrap(errNotRising, errkind.StreamBroken, "event %q follows event %q", limitID(e.id), limitID(previous))
}

// isNew reports whether the client does not have the event yet. It returns an error if events are
// missing before it, or its id does not rise.
func (c *continuity) isNew(e streamEvent) (bool, error) {
	if e.isSeveral {
		return false, errSeveralEvents // Not all ids would be checked.
	}
	at := positionAfter(e.id)
	previousID := c.lastID
	if e.id != "" {
		c.lastID = e.id
	}
	if !at.known {
		if c.isBehind() {
			c.skipped = c.skipped || e.hasData
			return false, nil
		}
		// A comment would begin the response of a resumption, although nothing may be left of the stream.
		if c.after.id != "" && !c.joined && !c.unnumbered && e.id == "" && !e.hasData {
			return false, nil
		}
		// Ids that are no numbers have no order, but one that comes twice in a row, or is that of the client's
		// last event, does not rise.
		if e.id != "" && (e.id == previousID || e.id == c.after.id) {
			return false, c.notRising(e, cmp.Or(previousID, c.after.id))
		}
		c.unnumbered = c.unnumbered || e.hasData
		return true, nil
	}
	previous := c.read
	if previous.known && at.last <= previous.last {
		return false, c.notRising(e, previous.id)
	}
	c.read = at
	switch {
	case c.after.known && at.last <= c.after.last && c.unnumbered:
		// The event without an id that was passed on comes before one that the client has, so it has that too.
		return false, c.notRising(e, c.after.id)
	case c.after.known && at.last <= c.after.last:
		return false, nil
	case c.joined && previous.known:
		if c.numbering.record(previous.last, at.last) {
			c.report(idsSkip, e.id, previous.id)
		}
	case c.isFirst && !c.joined:
		if c.numbering.recordStart(at.last) {
			c.report(idsBeginLate, e.id, "")
		}
	case c.skipped && !c.joined && !(previous.known && previous.last == c.after.last):
		// Whether the client has what was dropped is known only if its last event came after that.
		return false, errkind.New(errkind.StreamBroken, "event %d follows an event without an id, and event %d does not come before it", at.last, c.after.last)
	case !c.joined && c.after.known && at.last != c.after.last+1 && c.numbering.isConsecutive():
		return false, errkind.New(errkind.StreamBroken, "event %d follows event %d", at.last, c.after.last)
	}
	c.joined = true
	return true, nil
}

// isBehind reports whether the server is still to write events that the client has.
func (c *continuity) isBehind() bool {
	if !c.after.known || c.joined {
		return false
	}
	return c.read.known && c.read.last < c.after.last || c.fromEarlier && !c.read.known
}

// errNothingLeft means that a server ended the continuation of a stream without an event. The stream had
// ended before it broke, or the server does not know how it goes on.
var errNothingLeft = errkind.New(errkind.StreamBroken, "the stream ended without an event after the last one that the client has")

// end returns an error if the server ended the stream at an earlier event than the last one that the
// client has, and errNothingLeft if it wrote none at all.
func (c *continuity) end() error {
	switch {
	case c.joined || c.after.id == "" || c.read.known && c.read.last == c.after.last:
		return nil
	case c.read.known:
		return errkind.New(errkind.StreamBroken, "the stream ended with event %d, before event %d", c.read.last, c.after.last)
	case c.unnumbered:
		return nil
	}
	return errNothingLeft
}
