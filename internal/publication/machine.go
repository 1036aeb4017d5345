package publication

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

const (
	// maxRecentCommands and maxRecentBytes limit the commands retained for routers that
	// are behind. Beyond these limits, sending the full state costs no more.
	maxRecentCommands = 64
	maxRecentBytes    = 32 << 10
)

// Machine holds the replicated state. It is safe for concurrent use.
type Machine struct {
	// OnChange, if set, is called on the goroutine that applies log entries, after each
	// batch of entries and after a snapshot was restored, even if the state is unchanged.
	OnChange func(*State)

	mu    sync.RWMutex
	state *State
	// recentCommands are the latest commands that had an effect, oldest first.
	recentCommands []*fleetpb.Command
	recentBytes    int
	// encoded caches the encoded state; nil until it is requested.
	encoded *fleetpb.State
	// sum caches the state's sum; 0 until it is requested.
	sum               uint64
	evacuationChanges evacuationChanges
	// forgotten are the departures that were dropped since TakeDepartures.
	forgotten map[string]inventory.Departure
}

// New returns a Machine without a configuration.
func New() *Machine { return &Machine{state: &State{}} }

// State returns the latest state.
func (m *Machine) State() *State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state
}

// Encoded returns the latest state in the encoding in which routers are sent it, without the
// departures. The caller must not modify it.
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

// CommandsSince returns the commands from a revision to the latest one, and false if
// some of them are no longer retained.
func (m *Machine) CommandsSince(from uint64) ([]*fleetpb.Command, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if from > m.state.Revision || m.state.Revision-from > uint64(len(m.recentCommands)) {
		return nil, false
	}
	return m.recentCommands[len(m.recentCommands)-int(m.state.Revision-from):], true
}

// Result is what Apply returns to the proposer.
type Result struct {
	// Revision is the latest revision after the command.
	Revision uint64
	// Effective is false if the command had no effect.
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
	m.retainForgotten(cmd.GetDepart().GetForgotten())
	next, err := m.state.Apply(cmd)
	effective := next != m.state
	if next.Revision != m.state.Revision {
		m.encoded, m.sum = nil, 0
		m.retainCommand(cmd)
		m.evacuationChanges.record(cmd, next.Revision)
	}
	m.state = next
	return Result{Revision: next.Revision, Effective: effective, Err: err}
}

func (m *Machine) retainCommand(cmd *fleetpb.Command) {
	m.recentCommands = append(m.recentCommands, cmd)
	m.recentBytes += proto.Size(cmd)
	for len(m.recentCommands) > maxRecentCommands || m.recentBytes > maxRecentBytes {
		m.recentBytes -= proto.Size(m.recentCommands[0])
		m.recentCommands = m.recentCommands[1:]
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
	// Serialized messages are merged if they are concatenated.
	state := m.State()
	servers, err := proto.Marshal(&fleetpb.State{Departures: encodeDepartures(state.Departures), ServedVersions: inventory.EncodeServedVersions(state.ServedVersions)})
	if err != nil {
		return errors.Wrap(err, "encode the departures and served versions")
	}
	_, err = w.Write(append(data, servers...))
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
		return errkind.Wrap(err, errkind.DamagedStorage, "load the state of a snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded.Departures, encoded.ServedVersions = nil, nil
	m.state, m.encoded, m.sum, m.recentCommands, m.recentBytes = state, encoded, 0, nil, 0
	m.evacuationChanges = evacuationChanges{unknownUntil: state.Revision}
	return nil
}
