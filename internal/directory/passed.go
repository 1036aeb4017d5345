package directory

import "sync"

// passed counts who knows of news that is passed on.
type passed struct {
	// done is closed once a majority knows, the sender included, or all have answered.
	done chan struct{}

	mu     sync.Mutex
	others int
	known  int
	asked  int
	closed bool
}

func newPassed(others int) *passed {
	p := &passed{done: make(chan struct{}), others: others, known: 1}
	p.check()
	return p
}

// answered takes in that one of the others answered, or did not in time.
func (p *passed) answered(known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	if known {
		p.known++
	}
	p.check()
}

func (p *passed) check() {
	if !p.closed && (2*p.known > p.others+1 || p.asked >= p.others) {
		p.closed = true
		close(p.done)
	}
}
