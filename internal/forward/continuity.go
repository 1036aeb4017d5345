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
	// maxCountedSteps is the number of steps at which the counts are halved, so that those of a service that
	// numbers its events otherwise from now on decide after a tenth as many at most.
	maxCountedSteps = 4096
)

// numbering records whether a service numbers the events of its streams consecutively. It is safe
// for concurrent use.
type numbering struct {
	mu                 sync.Mutex
	consecutive, other int
}

// record counts two numbers that followed each other in what one server wrote.
func (n *numbering) record(previous, next uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.consecutive+n.other >= maxCountedSteps {
		n.consecutive, n.other = n.consecutive/2, n.other/2
	}
	if next == previous+1 {
		n.consecutive++
	} else {
		n.other++
	}
}

// isConsecutive reports whether numbers that are left out stand for missing events. That is assumed
// until streams show otherwise.
func (n *numbering) isConsecutive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.consecutive >= minConsecutiveRatio*n.other
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
}

// parseEvent returns the event of a text, which ends with an empty line.
func parseEvent(text []byte) streamEvent {
	e := streamEvent{text: text}
	for line := range bytes.Lines(text) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data"))
	}
	return e
}

// errNotRising means that a server wrote an event whose id does not rise: it repeats events, or joins two runs.
var errNotRising = errkind.New(errkind.StreamBroken, "the ids of events do not rise")

// continuity checks that what one server writes follows the events that the client has, and rises.
type continuity struct {
	numbering *numbering
	// after is the position at which the server is to go on; not known for a new stream.
	after position
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
	// server is the id of the server that writes. observe, if set, is called with the ids of two events that
	// followed each other there and do not rise.
	server  string
	observe func(id, previous string)
}

// notRising returns the error for an event whose id does not rise.
func (c *continuity) notRising(id, previous string) error {
	if c.observe != nil {
		c.observe(id, previous)
	}
	return errkind.Wrap(errNotRising, errkind.StreamBroken, "event %q follows event %q", limitID(id), limitID(previous))
}

// isNew reports whether the client does not have the event yet. It returns an error if events are
// missing before it, or its id does not rise.
func (c *continuity) isNew(e streamEvent) (bool, error) {
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
		// Ids that are no numbers have no order, but one that comes twice in a row, or is that of the client's
		// last event, does not rise.
		if e.id != "" && (e.id == previousID || e.id == c.after.id) {
			return false, c.notRising(e.id, cmp.Or(previousID, c.after.id))
		}
		c.unnumbered = c.unnumbered || e.hasData
		return true, nil
	}
	previous := c.read
	if c.joined && previous.known && at.last <= previous.last {
		return false, c.notRising(e.id, previous.id)
	}
	c.read = at
	switch {
	case c.after.known && at.last <= c.after.last && c.unnumbered:
		// The event without an id that was passed on comes before one that the client has, so it has that too.
		return false, c.notRising(e.id, c.after.id)
	case c.after.known && at.last <= c.after.last:
		return false, nil
	case c.joined && previous.known:
		c.numbering.record(previous.last, at.last)
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
