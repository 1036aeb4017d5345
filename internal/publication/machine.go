package publication

import (
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Machine holds the replicated state.
type Machine struct {
	// Changed, if set, is called by the group's goroutine after the state changed.
	Changed func(*fleetpb.State)

	mu    sync.RWMutex
	state *fleetpb.State
}

// New returns a Machine without a configuration.
func New() *Machine { return &Machine{state: &fleetpb.State{}} }

// State returns the newest state. It must not be changed.
func (m *Machine) State() *fleetpb.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state
}

// Result is what Apply returns to the proposer.
type Result struct {
	// Revision is the newest one after the command.
	Revision uint64
	// Effective is false if the command changed nothing.
	Effective bool
	Err       error
}

// Apply implements replication.StateMachine.
func (m *Machine) Apply(data []byte) any {
	cmd := &fleetpb.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return Result{Err: errkind.Wrap(err, errkind.Internal, "decode a replicated command")}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := after(m.state, cmd)
	effective := next != m.state
	m.state = next
	return Result{Revision: next.Revision, Effective: effective}
}

// after returns the state after the command; the same one if it has no effect.
func after(s *fleetpb.State, cmd *fleetpb.Command) *fleetpb.State {
	next := &fleetpb.State{Revision: s.Revision + 1, Configuration: s.Configuration, Evacuated: s.Evacuated}
	switch op := cmd.Op.(type) {
	case *fleetpb.Command_Publish:
		if op.Publish.Version <= s.Configuration.GetVersion() {
			return s
		}
		next.Configuration = op.Publish
	case *fleetpb.Command_Evacuate:
		at, out := slices.BinarySearch(s.Evacuated, op.Evacuate.DataCentre)
		switch {
		case out == op.Evacuate.Out:
			return s
		case out:
			next.Evacuated = slices.Delete(slices.Clone(s.Evacuated), at, at+1)
		default:
			next.Evacuated = slices.Insert(slices.Clone(s.Evacuated), at, op.Evacuate.DataCentre)
		}
	default:
		return s
	}
	return next
}

// Publish implements replication.StateMachine.
func (m *Machine) Publish(uint64) {
	if m.Changed != nil {
		m.Changed(m.State())
	}
}

// Snapshot implements replication.StateMachine.
func (m *Machine) Snapshot(w io.Writer) error {
	data, err := proto.Marshal(m.State())
	if err != nil {
		return errors.Wrap(err, "encode the state")
	}
	_, err = w.Write(data)
	return err
}

// Restore implements replication.StateMachine.
func (m *Machine) Restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	state := &fleetpb.State{}
	if err := proto.Unmarshal(data, state); err != nil {
		return errkind.Wrap(err, errkind.DamagedStorage, "decode the state of a snapshot")
	}
	m.mu.Lock()
	m.state = state
	m.mu.Unlock()
	return nil
}
