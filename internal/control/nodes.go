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
	// maxNodes bounds the nodes that a leader remembers: several times the target.
	maxNodes = 2000
	// nodeForgetTime is how long a silent node is listed.
	nodeForgetTime = 15 * time.Minute
)

// nodes is what the leader knows of the fleet's processes by their heartbeats.
// It is held in memory only: a new leader knows it after one interval.
type nodes struct {
	mu   sync.Mutex
	seen map[string]*node
}

type node struct {
	status *controlpb.NodeStatus
	at     time.Time
	// former is the incarnation before, whose late heartbeats are ignored.
	former string
}

func newNodes() *nodes { return &nodes{seen: map[string]*node{}} }

func (n *nodes) beat(s *controlpb.NodeStatus, now time.Time) error {
	if s.GetName() == "" {
		return errkind.New(errkind.BadRequest, "a heartbeat needs the node's name")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.seen[s.Name]
	switch {
	case old == nil:
		n.makeRoom(now)
		if len(n.seen) >= maxNodes {
			return errkind.New(errkind.QueueFull, "%d nodes are known already", maxNodes)
		}
		n.seen[s.Name] = &node{status: s, at: now}
	case s.Incarnation == old.former && s.Incarnation != "":
		// A late message of a process that was replaced.
	case s.Incarnation != old.status.Incarnation:
		n.seen[s.Name] = &node{status: s, at: now, former: old.status.Incarnation}
	default:
		old.status, old.at = s, now
	}
	return nil
}

func (n *nodes) makeRoom(now time.Time) {
	if len(n.seen) < maxNodes {
		return
	}
	for name, k := range n.seen {
		if now.Sub(k.at) > nodeForgetTime {
			delete(n.seen, name)
		}
	}
}

func (n *nodes) list(now time.Time) []*controlpb.NodeStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*controlpb.NodeStatus
	for name, k := range n.seen {
		silent := now.Sub(k.at)
		if silent > nodeForgetTime {
			delete(n.seen, name)
			continue
		}
		s := proto.Clone(k.status).(*controlpb.NodeStatus)
		s.SilentMs = uint64(silent.Milliseconds())
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *controlpb.NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// clear forgets all, when leadership is lost.
func (n *nodes) clear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.seen)
}
