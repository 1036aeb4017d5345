package publication

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// maxSteps and maxStepBytes bound the commands kept for routers that lag. Beyond
	// them the whole state is no dearer.
	maxSteps     = 64
	maxStepBytes = 32 << 10
)

// Machine holds the replicated state. It is safe for concurrent use.
type Machine struct {
	// OnChange, if set, is called by the group's goroutine after the state changed.
	OnChange func(*State)

	mu    sync.RWMutex
	state *State
	// steps are the last commands that had an effect, oldest first.
	steps     []*fleetpb.Command
	stepBytes int
	// encoded is the encoded state, once it was asked for.
	encoded *fleetpb.State
}

// New returns a Machine without a configuration.
func New() *Machine { return &Machine{state: &State{}} }

// State returns the newest state.
func (m *Machine) State() *State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state
}

// Encoded returns the newest state as it is sent. It must not be changed.
func (m *Machine) Encoded() (*fleetpb.State, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.encoded == nil {
		encoded, err := m.state.Encode()
		if err != nil {
			return nil, err
		}
		m.encoded = encoded
	}
	return m.encoded, nil
}

// CommandsSince returns the commands that lead from a revision to the newest one, and
// false if they are not all kept.
func (m *Machine) CommandsSince(from uint64) ([]*fleetpb.Command, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if from > m.state.Revision || m.state.Revision-from > uint64(len(m.steps)) {
		return nil, false
	}
	return m.steps[len(m.steps)-int(m.state.Revision-from):], true
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
	next, err := m.state.After(cmd)
	effective := next != m.state
	if effective {
		m.state, m.encoded = next, nil
		m.keep(cmd)
	}
	return Result{Revision: next.Revision, Effective: effective, Err: err}
}

func (m *Machine) keep(cmd *fleetpb.Command) {
	m.steps = append(m.steps, cmd)
	m.stepBytes += proto.Size(cmd)
	for len(m.steps) > maxSteps || m.stepBytes > maxStepBytes {
		m.stepBytes -= proto.Size(m.steps[0])
		m.steps = m.steps[1:]
	}
}

// Publish implements replication.StateMachine.
func (m *Machine) Publish(uint64) {
	if m.OnChange != nil {
		m.OnChange(m.State())
	}
}

// Snapshot implements replication.StateMachine.
func (m *Machine) Snapshot(w io.Writer) error {
	encoded, err := m.Encoded()
	if err != nil {
		return err
	}
	data, err := proto.Marshal(encoded)
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
	encoded := &fleetpb.State{}
	if err := proto.Unmarshal(data, encoded); err != nil {
		return errkind.Wrap(err, errkind.DamagedStorage, "decode the state of a snapshot")
	}
	state, err := Decode(encoded)
	if err != nil {
		return errkind.Wrap(err, errkind.DamagedStorage, "read the state of a snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.encoded, m.steps, m.stepBytes = state, encoded, nil, 0
	return nil
}
