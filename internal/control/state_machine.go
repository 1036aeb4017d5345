package control

import (
	"io"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/distribution"
)

// Checker checks the configuration that a change would result in, and whether it may
// follow the base configuration.
type Checker func(base, next *config.Set) error

// CheckSet is the Checker used in production.
func CheckSet(base, next *config.Set) error {
	if err := next.Check(); err != nil {
		return err
	}
	return config.CheckChange(base, next)
}

// stateMachine applies the log to a State and publishes the current configuration to
// the distribution relay.
type stateMachine struct {
	state *State
	relay *distribution.Relay
	check Checker
	log   hclog.Logger
	// checkFailed is set while the newest configuration fails its check and is therefore
	// not published.
	checkFailed atomic.Bool
	published   *config.Set
}

// Apply implements replication.StateMachine.
func (m *stateMachine) Apply(data []byte) any { return m.state.Apply(data) }

// Snapshot implements replication.StateMachine.
func (m *stateMachine) Snapshot(w io.Writer) error { return m.state.Snapshot(w) }

// Restore implements replication.StateMachine.
func (m *stateMachine) Restore(r io.Reader) error { return m.state.Restore(r) }

// Publish implements replication.StateMachine. It checks the whole configuration
// again; this process does not distribute one that fails the check.
func (m *stateMachine) Publish(uint64) {
	set := m.state.Newest()
	if set == m.published || set.Revision.Number == 0 {
		return
	}
	m.published = set
	err := m.check(set, set)
	if err == nil {
		err = m.relay.Publish(set)
	}
	m.checkFailed.Store(err != nil)
	if err != nil {
		m.log.Error("configuration failed its check; not distributed by this process", "revision", set.Revision.Number, "error", err)
	}
}
