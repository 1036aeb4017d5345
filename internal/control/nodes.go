package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// maxNodes limits the nodes that a leader tracks. It is several times the size of
	// the fleet that the system is designed for.
	maxNodes = 2000
	// nodeRetention is how long a node without heartbeats stays in the list.
	nodeRetention = 15 * time.Minute
)

// nodeTable holds the state that the processes of the fleet report to the leader in
// their heartbeats. It is kept in memory only; a new leader has it again after one
// heartbeat interval.
type nodeTable struct {
	mu     sync.Mutex
	byName map[string]*node
}

type node struct {
	status   *controlpb.NodeStatus
	lastSeen time.Time
	// previousIncarnation is the incarnation that this one replaced. Its late heartbeats
	// are ignored.
	previousIncarnation string
}

func newNodeTable() *nodeTable { return &nodeTable{byName: map[string]*node{}} }

func (n *nodeTable) recordHeartbeat(s *controlpb.NodeStatus, now time.Time) error {
	if s.GetName() == "" {
		return errkind.New(errkind.BadRequest, "the heartbeat has no node name")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.byName[s.Name]
	switch {
	case old == nil:
		n.evictSilent(now)
		if len(n.byName) >= maxNodes {
			return errkind.New(errkind.QueueFull, "the heartbeat of a new node is refused: the limit of %d nodes is reached", maxNodes)
		}
		n.byName[s.Name] = &node{status: s, lastSeen: now}
	case s.Incarnation == old.previousIncarnation && s.Incarnation != "":
		// A late heartbeat of the process that the current one replaced.
	case s.Incarnation != old.status.Incarnation:
		n.byName[s.Name] = &node{status: s, lastSeen: now, previousIncarnation: old.status.Incarnation}
	default:
		old.status, old.lastSeen = s, now
	}
	return nil
}

func (n *nodeTable) evictSilent(now time.Time) {
	if len(n.byName) < maxNodes {
		return
	}
	for name, entry := range n.byName {
		if now.Sub(entry.lastSeen) > nodeRetention {
			delete(n.byName, name)
		}
	}
}

func (n *nodeTable) list(now time.Time) []*controlpb.NodeStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*controlpb.NodeStatus
	for name, entry := range n.byName {
		silent := now.Sub(entry.lastSeen)
		if silent > nodeRetention {
			delete(n.byName, name)
			continue
		}
		s := proto.Clone(entry.status).(*controlpb.NodeStatus)
		s.SilentMs = uint64(silent.Milliseconds())
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *controlpb.NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// clear removes all nodes; it is called while this process is not the leader.
func (n *nodeTable) clear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.byName)
}
