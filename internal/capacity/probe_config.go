package capacity

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/distribution"
)

// appliesPerRound is the number of changes that are timed together.
const appliesPerRound = 50

var workspaceSizes = []int{1000, 4000, 11000}

// newConfigSet returns a configuration like that of the target fleet, with the
// given number of workspaces.
func newConfigSet(workspaces int) *config.Set {
	s := config.NewSet(config.Revision{Epoch: 1, Number: 1})
	s.Policies["standard"] = &config.Policy{Name: "standard"}
	s.Services["chat"] = &config.Service{
		Name: "chat", Type: config.TypeModel, Policy: "standard",
		Models: []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"},
		Routes: []config.Route{{Path: "/v1/chat/completions", Repeatable: true}},
	}
	for i := range 8 {
		name := fmt.Sprintf("dc-%d", i)
		s.DataCentres[name] = &config.DataCentre{Name: name, Region: fmt.Sprintf("region-%d", i%3), LeaseVoters: []config.LeaseVoter{
			{Name: "v1", Address: "127.0.0.1:1", Candidate: true},
			{Name: "v2", Address: "127.0.0.1:2", Candidate: true},
			{Name: "v3", Address: "127.0.0.1:3", Candidate: true},
		}}
	}
	for i := range workspaces {
		w := newWorkspace(i)
		s.Workspaces[w.Name] = w
	}
	return s
}

func newWorkspace(i int) *config.Workspace {
	return &config.Workspace{Name: fmt.Sprintf("workspace-%05d", i), Services: []string{"chat"}, MaxInFlight: 50, KeyHash: fmt.Sprintf("%064x", i)}
}

// workspaceChange returns an upsert of workspace i with MaxInFlight set to limit.
func workspaceChange(i, limit int) ([]*controlpb.Object, error) {
	w := newWorkspace(i)
	w.MaxInFlight = limit
	s := config.NewSet(config.Revision{})
	s.Workspaces[w.Name] = w
	return s.Objects()
}

func configProbes() []Probe {
	return []Probe{
		{"config.bytes_per_workspace", "B", workspaceSizes, func(n int) (float64, error) {
			objs, err := newConfigSet(n).Objects()
			if err != nil {
				return 0, err
			}
			v, err := retainedHeap(func() (*config.Set, error) { return config.FromObjects(config.Revision{Epoch: 1, Number: 1}, objs) })
			runtime.KeepAlive(objs) // counted before and after, so that the difference excludes them
			return v, err
		}},
		{"config.apply_bytes_per_workspace", "B", workspaceSizes, func(n int) (float64, error) {
			s := newConfigSet(n)
			up, err := workspaceChange(1, 60)
			if err != nil {
				return 0, err
			}
			v, err := retainedHeap(func() (*config.Set, error) { return s.Apply(config.Revision{Epoch: 1, Number: 2}, up, nil) })
			runtime.KeepAlive(s) // the difference then excludes the objects that both sets share
			return v, err
		}},
		{"config.apply_ns_per_workspace", "ns", workspaceSizes, func(n int) (float64, error) {
			s := newConfigSet(n)
			up, err := workspaceChange(1, 60)
			if err != nil {
				return 0, err
			}
			ns, err := medianTime(func() error {
				for range appliesPerRound {
					if _, err := s.Apply(config.Revision{Epoch: 1, Number: 2}, up, nil); err != nil {
						return err
					}
				}
				return nil
			})
			return ns / appliesPerRound, err
		}},
		{"config.check_ns_per_workspace", "ns", workspaceSizes, func(n int) (float64, error) {
			s := newConfigSet(n)
			return medianTime(s.Check)
		}},
		{"config.diff_ns_per_workspace", "ns", workspaceSizes, func(n int) (float64, error) {
			s := newConfigSet(n)
			up, err := workspaceChange(1, 60)
			if err != nil {
				return 0, err
			}
			next, err := s.Apply(config.Revision{Epoch: 1, Number: 2}, up, nil)
			if err != nil {
				return 0, err
			}
			return medianTime(func() error {
				_, _, err := config.Diff(s, next)
				return err
			})
		}},
		{"config.snapshot_bytes_per_workspace", "B", workspaceSizes, func(n int) (float64, error) {
			objs, err := newConfigSet(n).Objects()
			if err != nil {
				return 0, err
			}
			return float64(proto.Size(&controlpb.ConfigUpdate{Upserts: objs})), nil
		}},
	}
}

// watchStream is the server side of a Watch call. It counts the bytes sent on it.
type watchStream struct {
	drpc.Stream
	ctx       context.Context
	mu        sync.Mutex
	bytes     int
	revisions chan uint64
}

func (w *watchStream) Context() context.Context { return w.ctx }

func (w *watchStream) Send(u *controlpb.ConfigUpdate) error {
	if u.Keepalive {
		return nil
	}
	w.mu.Lock()
	w.bytes += proto.Size(u) + frameOverhead
	w.mu.Unlock()
	w.revisions <- u.Revision.Number
	return nil
}

// frameOverhead is the number of bytes that drpc and TLS framing add to a small
// message.
const frameOverhead = 40

// distributeChanges publishes changes one after the other to a number of watchers
// and returns the bytes sent per watcher. It publishes a change only after all
// watchers have received the one before.
func distributeChanges(watchers, changes int) (bytes float64, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	relay := distribution.NewRelay(0)
	set := newConfigSet(100)
	if err := relay.Publish(set); err != nil {
		return 0, err
	}
	have := set.Revision.ToProto()
	streams := make([]*watchStream, watchers)
	for i := range streams {
		streams[i] = &watchStream{ctx: ctx, revisions: make(chan uint64, 1)}
		go func() { _ = relay.Watch(&controlpb.WatchRequest{Have: have}, streams[i]) }()
	}
	for c := range changes {
		up, err := workspaceChange(c%100, c+1)
		if err != nil {
			return 0, err
		}
		if set, err = set.Apply(config.Revision{Epoch: 1, Number: uint64(c + 2)}, up, nil); err != nil {
			return 0, err
		}
		if err := relay.Publish(set); err != nil {
			return 0, err
		}
		for _, s := range streams {
			for n := uint64(0); n < set.Revision.Number; {
				n = <-s.revisions
			}
		}
	}
	total := 0
	for _, s := range streams {
		s.mu.Lock()
		total += s.bytes
		s.mu.Unlock()
	}
	return float64(total) / float64(watchers), nil
}

func distributionProbes() []Probe {
	const rounds = 40
	return []Probe{
		{"distribution.bytes_per_change", "B", []int{50, 200, 800}, func(n int) (float64, error) {
			return distributeChanges(1, n)
		}},
		{"distribution.relay_ns_per_watcher_per_change", "ns", []int{8, 40, 330}, func(n int) (float64, error) {
			ns, err := medianTime(func() error {
				_, err := distributeChanges(n, rounds)
				return err
			})
			return ns / rounds, err
		}},
	}
}
