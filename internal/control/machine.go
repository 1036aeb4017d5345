package control

import (
	"io"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/distribution"
)

// Checker checks the whole set that a change would make, and the step to it.
type Checker func(base, next *config.Set) error

// CheckSet is the Checker used in production.
func CheckSet(base, next *config.Set) error {
	if err := next.Check(); err != nil {
		return err
	}
	return config.CheckChange(base, next)
}

// machine drives a State from the log and publishes what is in force.
type machine struct {
	state *State
	relay *distribution.Relay
	check Checker
	log   hclog.Logger
	// unsound is set while the newest set fails its check; it is not published.
	unsound   atomic.Bool
	published *config.Set
}

// Apply implements replication.StateMachine.
func (m *machine) Apply(data []byte) any { return m.state.Apply(data) }

// Snapshot implements replication.StateMachine.
func (m *machine) Snapshot(w io.Writer) error { return m.state.Snapshot(w) }

// Restore implements replication.StateMachine.
func (m *machine) Restore(r io.Reader) error { return m.state.Restore(r) }

// Publish implements replication.StateMachine. The set is checked again as a
// whole; one that fails is not distributed by this process.
func (m *machine) Publish(uint64) {
	set := m.state.Newest()
	if set == m.published || set.Revision.Number == 0 {
		return
	}
	m.published = set
	err := m.check(set, set)
	if err == nil {
		err = m.relay.Publish(set)
	}
	m.unsound.Store(err != nil)
	if err != nil {
		m.log.Error("the set in force fails its check and is not distributed", "revision", set.Revision.Number, "error", err)
	}
}
