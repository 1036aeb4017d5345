package replication

import "time"

type progressState int

const (
	// probing sends one message at a time until the last index that the follower's
	// log shares with the leader's is known.
	probing progressState = iota
	// replicating sends entries without waiting for acknowledgements, up to the limit
	// of messages in flight.
	replicating
	// installing waits for the follower to acknowledge a snapshot.
	installing
)

// progress is the leader's view of one follower's replication.
type progress struct {
	disk        string
	state       progressState
	match, next uint64
	// inflight holds the last index of each append message not yet acknowledged.
	inflight []uint64
	// paused is set after a probe, until the next reply or heartbeat reply.
	paused      bool
	lastContact time.Duration
	ackedRound  uint64
	// knowsUncounted is set once the follower has answered, in this term, that it knows of the replacement of the
	// disk that the leader does not count.
	knowsUncounted  bool
	pendingSnapshot uint64
	installStarted  time.Duration
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
	p.state, p.pendingSnapshot, p.installStarted, p.inflight = installing, index, now, nil
}

func (p *progress) blocked(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.paused
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// recordSent records that entries up to last were sent.
func (p *progress) recordSent(last uint64) {
	if p.state == replicating {
		p.inflight = append(p.inflight, last)
		p.next = last + 1
		return
	}
	p.paused = true
}

// recordAck records that the follower holds everything up to index. It advances match
// only if the follower is confirmed, so that its acknowledgements count.
func (p *progress) recordAck(index uint64, confirmed bool) {
	if confirmed {
		p.match = max(p.match, index)
	}
	p.next = max(p.next, index+1)
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}
