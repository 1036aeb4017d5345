package directory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/assignment"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// versionHub is a hub whose commands are applied once settle is called.
type versionHub struct {
	*hub
	t    *testing.T
	time time.Time
	// proposed are the commands that are not settled yet, and commands counts all.
	proposed []func(err error)
	commands int
}

func newVersionHub(t *testing.T) *versionHub {
	h, _ := newTestHub()
	v := &versionHub{hub: h, t: t, time: h.now()}
	h.now = func() time.Time { return v.time }
	h.submit = func(cmd *fleetpb.Command, done func(error)) {
		if cmd.GetRecordVersions() != nil {
			v.commands++
			v.proposed = append(v.proposed, func(err error) {
				if err == nil {
					applyCommand(t, h, cmd)
					h.stateChanged()
				}
				done(err)
			})
		}
	}
	h.propose = h.submit
	return v
}

func (v *versionHub) settle(err error) {
	proposed := v.proposed
	v.proposed = nil
	for _, f := range proposed {
		f(err)
	}
}

func (v *versionHub) announce(id, version string, born int64) {
	s := serverAnnouncement(id, 1, inventory.Ready)
	s.Version, s.Born, s.LastSeen = version, born, v.time
	v.merge(s, true)
}

// advance lets time pass in which the given server announces itself.
func (v *versionHub) advance(d time.Duration, alive string) {
	for end := v.time.Add(d); v.time.Before(end); {
		v.time = v.time.Add(expireInterval)
		v.table.RefreshHeartbeat(alive, v.time)
		v.expireServers()
		v.forgetServedVersions()
		v.settle(nil)
	}
}

func (v *versionHub) expect(when string, versions ...string) {
	v.t.Helper()
	var got []string
	for _, r := range v.machine.State().ServedVersions {
		got = append(got, r.Version)
	}
	if !slices.Equal(got, versions) {
		v.t.Errorf("%s: versions %v are recorded, want %v", when, got, versions)
	}
}

// Guards against versions that are lost with a failed proposal, and against commands while versions do not change.
func TestAVersionIsRecordedOnceWhenItIsFirstHeard(t *testing.T) {
	v := newVersionHub(t)
	for i := range 100 {
		v.announce(fmt.Sprint("s", i), "v1", 1)
	}
	if v.commands != 1 {
		t.Errorf("%d commands for the first version, want 1", v.commands)
	}
	v.settle(errors.New("no quorum"))
	v.expect("after a failure")
	v.flush()
	v.settle(nil)
	v.expect("after the next flush", "v1")
	v.commands = 0
	for i := range 100 {
		v.announce(fmt.Sprint("s", i), "v1", 2)
		v.flush()
	}
	if v.commands != 0 {
		t.Errorf("%d commands while all servers have the recorded version, want none", v.commands)
	}
	v.announce("s1", "v2", 3)
	v.settle(nil)
	v.expect("after another version", "v1", "v2")
}

// Guards against versions that are forgotten while streams of them may be taken up, in whichever way their last server
// ended and whatever the process missed, and against some that are kept for good.
func TestVersionsAreForgottenAfterTheirLastServer(t *testing.T) {
	for name, end := range map[string]func(v *versionHub){
		"left":     func(v *versionHub) { v.leave("x", 0) },
		"replaced": func(v *versionHub) { v.announce("x", "v2", 2) },
		"crashed":  func(*versionHub) {},
	} {
		t.Run(name, func(t *testing.T) {
			v := newVersionHub(t)
			v.places.assigner = assignment.NewAssigner()
			v.announce("x", "v1", 1)
			v.announce("y", "v2", 1)
			v.settle(nil)
			v.advance(time.Hour, "y")
			v.expect("an hour after the crash of the server", "v2")
			v.announce("x", "v1", 2)
			v.settle(nil)
			v.advance(time.Minute, "x")
			v.announce("y", "v2", 2)
			end(v)
			v.advance(89*time.Second, "y")
			v.expect("89 s later", "v1", "v2")
			v.advance(31*time.Second, "y")
			if name == "replaced" {
				v.expect("120 s later", "v2")
			}
			v.advance(90*time.Second, "y")
			v.expect("210 s later", "v2")
		})
	}
}

// Guards against a process that forgets versions which it has not heard of only because it stood still, was cut off or
// did not lead: it may have missed servers that were replaced since.
func TestAProcessThatWasNotInTouchForgetsNoVersion(t *testing.T) {
	for name, missed := range map[string]func(v *versionHub){
		"stood still": func(v *versionHub) { v.time = v.time.Add(time.Hour) },
		"did not lead": func(v *versionHub) {
			v.setLeading(false)
			v.advance(time.Hour, "y")
			v.setLeading(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := newVersionHub(t)
			v.setLeading(true)
			v.announce("x", "v1", 1)
			v.announce("y", "v2", 1)
			v.settle(nil)
			v.settle(nil)
			v.advance(time.Minute, "y")
			missed(v)
			v.announce("y", "v2", 2)
			v.advance(servedVersionTTL-expireInterval, "y")
			v.expect("before the process has led for long enough", "v1", "v2")
			v.advance(2*expireInterval, "y")
			v.expect("then", "v2")
		})
	}
}

// Guards against a version that is not recorded since its server had left before this process heard of it, by a leave
// that names no start or by the record: the process that knew the server may run an earlier release.
func TestVersionsOfServersThatHadLeftAreRecorded(t *testing.T) {
	announced := serverAnnouncement("x", 1, inventory.Ready)
	announced.Version = "v1"
	relay := func(v *versionHub, s inventory.Server) {
		v.receiveSpread(&fleetpb.SpreadRequest{Announcements: []*fleetpb.Announcement{inventory.Encode(&s, v.time)}})
	}
	events := map[string]func(v *versionHub){
		"leave": func(v *versionHub) { v.leave("x", 0) },
		"record": func(v *versionHub) {
			applyCommand(t, v.hub, publication.DepartCommand([]inventory.Departure{{ID: "x", Born: v.time.UnixMilli(), State: inventory.Gone}}))
			v.stateChanged()
		},
		"departure relayed": func(v *versionHub) {
			relay(v, inventory.Server{ID: "x", Born: v.time.UnixMilli(), State: inventory.Gone, LastSeen: v.time})
		},
		"announced":            func(v *versionHub) { v.merge(announced, true) },
		"announcement relayed": func(v *versionHub) { relay(v, announced) },
	}
	for first, a := range events {
		for second, b := range events {
			for third, c := range events {
				v := newVersionHub(t)
				a(v)
				b(v)
				c(v)
				v.settle(nil)
				var want []string
				if slices.ContainsFunc([]string{first, second, third}, func(name string) bool { return strings.HasPrefix(name, "announce") }) {
					want = []string{"v1"}
				}
				v.expect(strings.Join([]string{first, second, third}, ", "), want...)
			}
		}
	}
}

// Guards against a record without a limit, and against services that are served and have no room in it.
func TestTheRecordOfVersionsIsLimited(t *testing.T) {
	v := newVersionHub(t)
	v.served.decode = func([]byte) (*catalog.Set, error) {
		return catalog.New(catalog.Set{Services: []catalog.Service{{Name: "chat"}, {Name: "served"}}})
	}
	publish, err := v.machine.State().PublishCommand(1, []byte("one"), true)
	if err != nil {
		t.Fatal(err)
	}
	applyCommand(t, v.hub, publish)
	record := func(service string, versions int) (recorded int) {
		for i := range versions {
			s := serverAnnouncement("x", 1, inventory.Ready)
			s.Service, s.Version, s.Born = service, fmt.Sprint("v", i), 1
			s.ID, s.Address = fmt.Sprint(service, i), fmt.Sprint(service, i, ":1")
			v.merge(s, true)
			v.settle(nil)
		}
		for _, r := range v.machine.State().ServedVersions {
			if r.Service == service {
				recorded++
			}
		}
		return recorded
	}
	if got := record("chat", 40); got != maxVersionsPerService {
		t.Errorf("%d versions of a service are recorded, want %d", got, maxVersionsPerService)
	}
	for i := range 1000 {
		record(fmt.Sprint("other", i), 2)
	}
	if got := len(v.machine.State().ServedVersions); got != maxServedVersions/2 {
		t.Errorf("%d versions are recorded, want %d for services that the configuration does not name", got, maxServedVersions/2)
	}
	if got := record("served", 1); got != 1 {
		t.Error("a service that is served has no room in the record")
	}
}

// Guards against a router that counts fewer versions than were recorded: it is sent all of them with the list of
// servers, and then each change.
func TestRoutersAreSentTheRecordedVersions(t *testing.T) {
	v := newVersionHub(t)
	v.announce("x", "v1", 1)
	v.settle(nil)
	reporting, standby := newSession(v.hub, "r1"), newSession(v.hub, "r2")
	v.handleRequest(reporting, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	sent := func(s *session) (last []inventory.ServedVersion) {
		for _, u := range drain(s) {
			if u.ServedVersions != nil {
				last = inventory.DecodeServedVersions(u.ServedVersions.Services)
			}
		}
		return last
	}
	v1, v2 := inventory.ServedVersion{Service: "chat", Version: "v1"}, inventory.ServedVersion{Service: "chat", Version: "v2"}
	if got := sent(reporting); !slices.Equal(got, []inventory.ServedVersion{v1}) {
		t.Errorf("with the list the router was sent %v", got)
	}
	v.announce("y", "v2", 1)
	v.settle(nil)
	if got := sent(reporting); !slices.Equal(got, []inventory.ServedVersion{v1, v2}) {
		t.Errorf("after another version the router was sent %v", got)
	}
	applyCommand(t, v.hub, publication.RecordVersionsCommand(nil, []inventory.ServedVersion{v1, v2}))
	v.stateChanged()
	if got := sent(reporting); len(got) != 0 {
		t.Errorf("after both were forgotten the router was sent %v", got)
	}
	v.settle(nil)
	if got := sent(reporting); !slices.Equal(got, []inventory.ServedVersion{v1, v2}) {
		t.Errorf("versions that were forgotten while they serve are recorded again as %v", got)
	}
	if got := sent(standby); got != nil {
		t.Errorf("a router without a list was sent %v", got)
	}
}

// Guards against versions that one process alone knows, or that a restart of all loses.
func TestVersionsAreRecordedAtAllProcessesAndOnDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	for i, version := range []string{"v1", "v2", "v3"} {
		s := serverAnnouncement(version, 1, inventory.Ready)
		s.Version = version
		c.announce(hosts[i], s)
	}
	recorded := func(host string) (versions []string) {
		if err := c.nodes[host].p.hub.do(context.Background(), func() {
			for _, v := range c.nodes[host].p.hub.versions.recorded {
				versions = append(versions, v.Version)
			}
		}); err != nil {
			t.Fatal(err)
		}
		return versions
	}
	check := func(when string) {
		for _, host := range hosts[:3] {
			c.eventually("record all versions at "+host+" "+when, func() bool { return slices.Equal(recorded(host), []string{"v1", "v2", "v3"}) })
		}
	}
	check("when servers announce them")
	disks := map[string]*node{}
	for h, n := range c.nodes {
		disks[h] = n
		c.stop(h)
	}
	for h, n := range disks {
		c.start(h, n.fs)
	}
	check("after a restart")
}
