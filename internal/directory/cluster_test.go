package directory

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/assignment"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// cluster runs directory processes on loopback. All use the same port on different
// hosts, since only the hosts of seeds are used.
type cluster struct {
	t     *testing.T
	port  string
	seeds []string
	nodes map[string]*node
	// prepare, if set, is called before a process runs. It returns the handler of its operations
	// address.
	prepare func(*Process) http.Handler
}

type node struct {
	p    *Process
	fs   vfs.FS
	stop context.CancelFunc
	done chan error
}

var hosts = []string{"127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14", "127.0.0.15"}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, port: reservePort(t), nodes: map[string]*node{}}
	for _, h := range hosts[:n] {
		c.seeds = append(c.seeds, h+":1")
	}
	for _, h := range hosts[:n] {
		c.start(h, vfs.NewMem())
	}
	t.Cleanup(func() {
		for h := range c.nodes {
			c.stop(h)
		}
	})
	return c
}

func (c *cluster) start(host string, fs vfs.FS) *Process {
	c.t.Helper()
	p, err := OpenOrReplace(c.t.Context(), fs, c.settings(host), hclog.NewNullLogger())
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{p: p, fs: fs, stop: stop, done: make(chan error, 1)}
	handler := http.NotFoundHandler()
	if c.prepare != nil {
		handler = c.prepare(p)
	}
	go func() { n.done <- p.Run(ctx, handler) }()
	c.nodes[host] = n
	return p
}

func (c *cluster) settings(host string) *Settings {
	return &Settings{
		Name: host, DataCentre: "a", Operations: host + ":0", Fleet: net.JoinHostPort(host, c.port), Admin: host + ":0",
		Data: "data", Seeds: c.seeds, Founding: true,
	}
}

// stop stops processes at the same time.
func (c *cluster) stop(hosts ...string) {
	for _, h := range hosts {
		c.nodes[h].stop()
	}
	for _, h := range hosts {
		if err := <-c.nodes[h].done; err != nil {
			c.t.Errorf("%s ended with %v", h, err)
		}
		delete(c.nodes, h)
	}
}

func (c *cluster) eventually(what string, check func() bool) {
	c.t.Helper()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	c.t.Fatalf("%s: not within 40 s", what)
}

func (c *cluster) publish(host string, version uint64, document string) {
	c.t.Helper()
	c.eventually("accept the change", func() bool {
		return c.nodes[host].p.Publish(context.Background(), version, []byte(document)) == nil
	})
}

func (c *cluster) awaitDocument(host, document string) {
	c.t.Helper()
	c.eventually(host+" reads "+document, func() bool {
		got, err := c.nodes[host].p.Configuration(context.Background())
		return err == nil && string(got) == document
	})
}

// voters returns the hosts of the voters that the process at host knows, sorted.
func (c *cluster) voters(host string) (out []string) {
	for _, v := range c.nodes[host].p.group.Status().Voters.GetVoters() {
		h, _, _ := net.SplitHostPort(v.Address)
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// leader returns the host of the process that leads after a change was accepted.
func (c *cluster) leader() string {
	c.t.Helper()
	for h, n := range c.nodes {
		if n.p.group.Status().Leading {
			return h
		}
	}
	c.t.Fatal("no process leads after a change was accepted")
	return ""
}

func TestAChangeIsReadAtEveryProcess(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 5, "five")
	c.publish(hosts[1], 3, "three")
	for _, h := range hosts[:3] {
		c.awaitDocument(h, "five")
	}
	if err := c.nodes[hosts[2]].p.Evacuate(context.Background(), "b", true); err != nil {
		t.Fatal(err)
	}
	c.eventually("replicate the evacuation", func() bool {
		return slices.Equal(c.nodes[hosts[0]].p.machine.State().Evacuated, []string{"b"})
	})
}

// Guards against confirmations that do not identify the state, which may be of another history: each
// process tells its routers the mark of the leader's state.
func TestConfirmationsCarryTheMarkOfTheState(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 4, "four")
	for _, h := range hosts[:3] {
		mark, err := c.nodes[h].p.server.barrier(t.Context())
		if want := c.nodes[hosts[0]].p.machine.Mark(); err != nil || mark != want || mark.Sum == 0 {
			t.Errorf("%s: %+v, %v, want %+v", h, mark, err, want)
		}
	}
	hub := c.nodes[hosts[0]].p.hub
	pong := make(chan *fleetpb.FollowUpdate, 1)
	hub.post(t.Context(), func() {
		s := &session{queue: make(chan *fleetpb.FollowUpdate, 1), confirmed: true}
		hub.sessions[s] = true
		hub.confirmRouters(map[*session]uint64{s: 1}, publication.Mark{Revision: 7, Sum: 8}, nil)
		pong <- s.takePong()
		delete(hub.sessions, s)
	})
	if u := <-pong; !u.Confirmed || u.Newest != 7 || u.NewestSum != 8 {
		t.Errorf("routers are sent %v", u)
	}
}

// A process that restarts with an empty disk must not vote as the voter that it was
// before. It must be admitted again without an operator.
func TestAWipedProcessTakesItsPlaceAgain(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	disk := c.nodes[hosts[2]].p.store.DiskID()
	c.stop(hosts[2])
	c.publish(hosts[0], 2, "two")
	p := c.start(hosts[2], vfs.NewMem())
	if p.store.DiskID() == disk {
		t.Fatal("the new disk has the identity of the old one")
	}
	c.eventually("admit the new disk", func() bool {
		return isVoter(c.nodes[hosts[0]].p.group.Status().Voters, p.voterManager().id, p.store.DiskID())
	})
	c.awaitDocument(hosts[2], "two")
	// The group tolerates the loss of another process now.
	c.stop(hosts[0])
	c.publish(hosts[2], 3, "three")
	c.awaitDocument(hosts[1], "three")
}

// newFillableFS returns a file system that takes no new file and no write while it is full.
func newFillableFS(full *atomic.Bool) vfs.FS {
	return errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op) error {
		if full.Load() && (op.Kind == errorfs.OpCreate || op.Kind == errorfs.OpFileWrite) {
			return syscall.ENOSPC
		}
		return nil
	}))
}

// Guards against directory processes that end, again and again, while their disks are full.
// The process that leads is taken, so that leadership must pass on, and later a second one
// as well, so that the group has no quorum until there is room again.
func TestAFullDiskCostsAProcessItsVoteOnly(t *testing.T) {
	c := newCluster(t, 0)
	full := map[string]*atomic.Bool{}
	for _, h := range hosts[:3] {
		c.seeds = append(c.seeds, h+":1")
	}
	for _, h := range hosts[:3] {
		full[h] = &atomic.Bool{}
		c.start(h, newFillableFS(full[h]))
	}
	c.publish(hosts[0], 1, "one")
	leader := c.leader()
	var others []string
	for _, h := range hosts[:3] {
		if h != leader {
			others = append(others, h)
		}
	}
	full[leader].Store(true)
	c.publish(others[0], 2, "two")
	c.awaitDocument(others[1], "two")
	c.eventually("suspend the voter without room", func() bool { return c.nodes[leader].p.group.Status().Suspended })
	if err := c.nodes[leader].p.Publish(context.Background(), 3, []byte("three")); errkind.Of(err) != errkind.NoQuorum {
		t.Errorf("a change at the process without room: %v, want kind no-quorum", err)
	}
	// What needs no disk goes on.
	if err := c.nodes[leader].p.Announce(context.Background(), serverAnnouncement("x", 1, inventory.Ready)); err != nil {
		t.Errorf("an announcement at the process without room: %v", err)
	}
	full[others[0]].Store(true)
	_ = c.nodes[others[1]].p.Publish(context.Background(), 4, []byte("four")) // Its outcome is unknown.
	for _, f := range full {
		f.Store(false)
	}
	c.publish(others[1], 5, "five")
	for _, h := range hosts[:3] {
		c.awaitDocument(h, "five")
		c.eventually("resume "+h, func() bool { return !c.nodes[h].p.group.Status().Suspended })
		select {
		case err := <-c.nodes[h].done:
			t.Fatalf("the process at %s ended: %v", h, err)
		default:
		}
	}
}

// A process is lost permanently and a new one starts at another address.
func TestALostProcessIsReplacedAtAnotherAddress(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	c.stop(hosts[2])
	c.start(hosts[3], vfs.NewMem())
	want := []string{hosts[0], hosts[1], hosts[3]}
	c.eventually("replace the lost voter", func() bool { return slices.Equal(c.voters(hosts[0]), want) })
	c.awaitDocument(hosts[3], "one")
	c.stop(hosts[1])
	c.publish(hosts[3], 2, "two")
	c.awaitDocument(hosts[0], "two")
}

// Guards against voters that stay in the set for good because they turned silent together. Then
// the loss of one more process ends the quorum.
func TestTwoProcessesThatEndTogetherAreRemoved(t *testing.T) {
	c := newCluster(t, 5)
	c.publish(hosts[0], 1, "one")
	c.stop(hosts[3], hosts[4])
	c.eventually("remove both voters", func() bool { return slices.Equal(c.voters(hosts[0]), hosts[:3]) })
	c.publish(hosts[1], 2, "two")
	c.stop(hosts[2])
	c.publish(hosts[1], 3, "three")
	c.awaitDocument(hosts[0], "three")
}

// All processes stop and restart with their disks.
func TestTheStateSurvivesARestartOfAll(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[1], 7, "seven")
	disks := map[string]vfs.FS{}
	for _, h := range hosts[:3] {
		disks[h] = c.nodes[h].fs
	}
	for _, h := range hosts[:3] {
		c.stop(h)
	}
	for _, h := range hosts[:3] {
		c.start(h, disks[h])
	}
	c.awaitDocument(hosts[2], "seven")
}

// Places must survive a restart of all processes. Otherwise routers that start again
// would send prompts to other servers than before.
func TestPlacesSurviveARestartOfAll(t *testing.T) {
	c := newCluster(t, 3)
	announce := func(host, id string, state inventory.State) {
		c.t.Helper()
		err := c.nodes[host].p.Announce(context.Background(), inventory.Server{
			ID: id, Born: 1, Sequence: 1 + uint64(state), Service: "chat", Address: id + ":1", State: state, LastSeen: time.Now(),
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for i, id := range []string{"x", "y", "z"} {
		announce(hosts[i], id, inventory.Ready)
	}
	places := func(host string) []assignment.Place { return c.nodes[host].p.machine.State().Places["chat"] }
	c.eventually("give each server a place", func() bool { return len(places(hosts[1])) == 3 })
	before := places(hosts[1])
	disks := map[string]vfs.FS{}
	for _, h := range hosts[:3] {
		disks[h] = c.nodes[h].fs
	}
	for _, h := range hosts[:3] {
		c.stop(h)
	}
	for _, h := range hosts[:3] {
		c.start(h, disks[h])
	}
	c.eventually("restore the places", func() bool { return slices.Equal(places(hosts[2]), before) })
	// A server that announces itself first must not take the place of one that has not
	// announced itself yet.
	announce(hosts[0], "new", inventory.Ready)
	c.publish(hosts[0], 1, "one")
	for _, h := range hosts[:3] {
		c.awaitDocument(h, "one")
		if got := places(h); !slices.Equal(got, before) {
			t.Errorf("%s: places %v, were %v", h, got, before)
		}
	}
}

// An announcement must be acknowledged only after it was queued for the routers,
// although changes are batched for broadcastDelay.
func TestAnAnnouncementIsAcknowledgedOnceItWasBroadcast(t *testing.T) {
	c := newCluster(t, 3)
	p := c.nodes[hosts[0]].p
	s := &session{router: "r", queue: make(chan *fleetpb.FollowUpdate, sessionQueueSize), cancel: func() {}}
	if err := p.hub.do(context.Background(), func() { p.hub.openSession(s) }); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		id := fmt.Sprint("s", i)
		err := p.Announce(context.Background(), inventory.Server{ID: id, Born: 1, Sequence: 1, Service: "chat", Address: id + ":1", State: inventory.Ready, LastSeen: time.Now()})
		if err != nil {
			t.Fatal(err)
		}
		sent := false
		for _, u := range drain(s) {
			sent = sent || slices.ContainsFunc(u.Announcements, func(a *fleetpb.Announcement) bool { return a.Id == id })
		}
		if !sent {
			t.Fatalf("%s was acknowledged before it was sent to the routers", id)
		}
	}
}

// A process without a quorum must reject reads and changes.
func TestAMinorityAcceptsAndReadsNothing(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	c.stop(hosts[1])
	c.stop(hosts[2])
	p := c.nodes[hosts[0]].p
	if err := p.Publish(context.Background(), 2, []byte("two")); err == nil {
		t.Error("a process without a quorum accepted a change")
	}
	c.eventually("lose the leader", func() bool {
		_, err := p.Configuration(context.Background())
		return err != nil
	})
}
