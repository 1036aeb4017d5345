package replication

import "time"

type progressState int

const (
	// probing sends one message at a time until the follower's log is known.
	probing progressState = iota
	// replicating sends ahead, within the window.
	replicating
	// installing waits for a snapshot to arrive.
	installing
)

// progress is what a leader knows of one follower.
type progress struct {
	disk        string
	state       progressState
	match, next uint64
	// inflight holds the last index of each message not yet acknowledged.
	inflight []uint64
	// paused stops a probe until the next answer or heartbeat.
	paused      bool
	lastContact time.Duration
	round       uint64
	pending     uint64
	since       time.Duration
}

func (p *progress) becomeProbe() {
	p.state, p.paused, p.inflight = probing, false, nil
	p.next = p.match + 1
}

func (p *progress) becomeReplicate() {
	p.state, p.paused, p.inflight = replicating, false, nil
	p.next = p.match + 1
}

func (p *progress) becomeInstall(index uint64, now time.Duration) {
	p.state, p.pending, p.since, p.inflight = installing, index, now, nil
}

func (p *progress) blocked(window int) bool {
	switch p.state {
	case probing:
		return p.paused
	case replicating:
		return len(p.inflight) >= window
	}
	return true
}

// sent records that entries up to last are on their way.
func (p *progress) sent(last uint64) {
	if p.state == replicating {
		p.inflight = append(p.inflight, last)
		p.next = last + 1
		return
	}
	p.paused = true
}

// acked records that the follower holds everything up to index; it adds to
// match only if the follower's promises count.
func (p *progress) acked(index uint64, counts bool) {
	if counts {
		p.match = max(p.match, index)
	}
	p.next = max(p.next, index+1)
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}
