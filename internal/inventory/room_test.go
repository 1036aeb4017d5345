package inventory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// Guards against entries of another writer that are so many that a list of all servers fits in no
// message, and against one of these that keeps a server out.
func TestManyEntriesOfOthersKeepNoServerOut(t *testing.T) {
	const (
		announced = 3 * maxServers
		// maxListBytes is the largest message between processes.
		maxListBytes = 32 << 20
	)
	tab := New()
	tab.SetServed(func(service string) bool { return service == "chat" })
	long := strings.Repeat("x", maxNameBytes-8)
	tab.Merge(ready("held", 1, 1, "h:1"))
	for i := range announced {
		s := ready(fmt.Sprintf("%s%08d", long, i), 1, 1, fmt.Sprintf("%s%08d", long, i))
		s.Service, s.DataCentre, s.Version = long+"xxxxxxxx", long+"xxxxxxxx", long+"xxxxxxxx"
		tab.Merge(s)
	}
	list := &fleetpb.FollowUpdate{}
	tab.All(func(s *Server) { list.Announcements = append(list.Announcements, Encode(s, start)) })
	if n := proto.Size(list); n > maxListBytes {
		t.Errorf("the list of %d servers has %d bytes, want at most %d", tab.Len(), n, maxListBytes)
	}
	for i := range 100 {
		if got := tab.Merge(ready(fmt.Sprintf("new%d", i), 1, 1, fmt.Sprintf("h:%d", i+2))); got != Changed {
			t.Fatalf("new server %d: %v, want it in the table", i, got)
		}
	}
	if state(tab, "held") != Ready || tab.Len() > maxServers {
		t.Errorf("the server held before is %s among %d", state(tab, "held"), tab.Len())
	}
	tab.Expire(start.Add(time.Hour))
	if len(tab.servers)+len(tab.owners) != 0 {
		t.Errorf("%d servers and %d addresses after all have expired", len(tab.servers), len(tab.owners))
	}
}
