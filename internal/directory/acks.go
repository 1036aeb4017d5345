package directory

import "sync"

// routerSessions is how many processes a router follows.
const routerSessions = 2

// ackCounter counts the processes that have acknowledged relayed announcements.
type ackCounter struct {
	// done is closed once a majority, counting the sender, has acknowledged, and each router
	// follows a process that has, or once all peers have answered or timed out.
	done chan struct{}

	mu       sync.Mutex
	peers    int
	acked    int
	answered int
	closed   bool
}

func newAckCounter(peers int) *ackCounter {
	c := &ackCounter{done: make(chan struct{}), peers: peers, acked: 1}
	c.closeIfDone()
	return c
}

// record counts the answer of one peer; acked is false if the call failed or timed
// out.
func (c *ackCounter) record(acked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	if acked {
		c.acked++
	}
	c.closeIfDone()
}

// counts returns how many processes have acknowledged so far, this one included, and how many
// there are.
func (c *ackCounter) counts() (acked, processes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acked, c.peers + 1
}

func (c *ackCounter) closeIfDone() {
	processes := c.peers + 1
	enough := 2*c.acked > processes && c.acked+routerSessions > processes
	if !c.closed && (enough || c.answered >= c.peers) {
		c.closed = true
		close(c.done)
	}
}
