package distribution

import (
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// DefaultKeepalive is the interval of keepalives on an idle stream.
	DefaultKeepalive = time.Second
	// maxLogSteps bounds the log of changes that a relay keeps.
	maxLogSteps = 1024
	// maxLogObjects bounds the changed objects that the log holds.
	maxLogObjects = 20_000
	// maxAgeMs bounds the age that a message states: one year.
	maxAgeMs = 365 * 24 * 3600 * 1000
)

// Relay serves the configuration that is published to it. Its owner calls
// Publish for each new configuration and Confirm whenever a quorum is known to
// have nothing newer. It is safe for concurrent use.
type Relay struct {
	keepalive time.Duration
	now       func() time.Time

	mu        sync.Mutex
	current   *config.Set
	confirmed time.Time
	log       []step
	logged    int
	// full caches the parts of the whole configuration at the current revision.
	full []*controlpb.ConfigUpdate
	// changed is closed and replaced when there is a new revision.
	changed chan struct{}
}

// NewRelay returns a relay that has nothing to serve yet. keepalive is the
// interval of keepalives; 0 means DefaultKeepalive.
func NewRelay(keepalive time.Duration) *Relay {
	if keepalive <= 0 {
		keepalive = DefaultKeepalive
	}
	return &Relay{keepalive: keepalive, now: time.Now, changed: make(chan struct{})}
}

// Publish makes the declared set the one that is served. A set that is not
// newer than the one before is ignored.
func (r *Relay) Publish(s *config.Set) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil && !r.current.Revision.Less(s.Revision) {
		return nil
	}
	if err := r.record(s); err != nil {
		return err
	}
	r.current, r.full = s, nil
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// Confirm notes that no newer revision than the published one had been
// accepted at that moment. An earlier moment than before is ignored.
func (r *Relay) Confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.confirmed) {
		r.confirmed = at
	}
}

// Watch implements the Distribution service.
func (r *Relay) Watch(req *controlpb.WatchRequest, stream controlpb.DRPCDistribution_WatchStream) error {
	have := config.FromPB(req.Have)
	tick := time.NewTicker(r.keepalive)
	defer tick.Stop()
	for {
		updates, at, changed, err := r.since(have)
		if err != nil {
			return err
		}
		for _, u := range updates {
			if err := stream.Send(u); err != nil {
				return err
			}
		}
		have = at
		select {
		case <-stream.Context().Done():
			return nil
		case <-changed:
		case <-tick.C:
		}
	}
}

// since returns the messages that bring a watcher from have to the current
// revision, which is a keepalive if it is there already or further.
func (r *Relay) since(have config.Revision) (us []*controlpb.ConfigUpdate, at config.Revision, changed chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return nil, have, nil, errkind.New(errkind.NotReady, "no configuration is known here yet")
	}
	rev := r.current.Revision
	if !have.Less(rev) {
		u := &controlpb.ConfigUpdate{Revision: rev.PB(), Keepalive: true, AgeMs: r.age()}
		return []*controlpb.ConfigUpdate{u}, have, r.changed, nil
	}
	parts := r.deltaFrom(have)
	if parts == nil {
		if parts, err = r.whole(); err != nil {
			return nil, have, nil, err
		}
	}
	return r.withAge(parts), rev, r.changed, nil
}

// age returns the age of the news in milliseconds.
func (r *Relay) age() uint64 {
	if r.confirmed.IsZero() {
		return maxAgeMs
	}
	return uint64(max(0, r.now().Sub(r.confirmed).Milliseconds()))
}

// withAge returns copies of cached parts that state the age.
func (r *Relay) withAge(parts []*controlpb.ConfigUpdate) []*controlpb.ConfigUpdate {
	age := r.age()
	out := make([]*controlpb.ConfigUpdate, len(parts))
	for i, p := range parts {
		out[i] = &controlpb.ConfigUpdate{
			Revision: p.Revision, Full: p.Full, Base: p.Base,
			Upserts: p.Upserts, Deletes: p.Deletes, More: p.More, AgeMs: age,
		}
	}
	return out
}

// whole returns the parts of the whole configuration.
func (r *Relay) whole() ([]*controlpb.ConfigUpdate, error) {
	if r.full != nil {
		return r.full, nil
	}
	objs, err := r.current.Objects()
	if err != nil {
		return nil, err
	}
	r.full = split(&controlpb.ConfigUpdate{Revision: r.current.Revision.PB(), Full: true, Upserts: objs})
	return r.full, nil
}
