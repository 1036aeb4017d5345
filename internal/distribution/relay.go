package distribution

import (
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// DefaultKeepaliveInterval is the interval of keepalives on an idle stream.
	DefaultKeepaliveInterval = time.Second
	// maxLogEntries bounds the log of changes that a relay keeps.
	maxLogEntries = 1024
	// maxLogObjects bounds the changed objects that the log holds.
	maxLogObjects = 20_000
	// maxAgeMs bounds the age that a message states: one year.
	maxAgeMs = 365 * 24 * 3600 * 1000
)

// Relay serves the configuration that is published to it. Its owner calls Publish
// for each new configuration, and Confirm whenever a quorum has confirmed that
// there is nothing newer. It is safe for concurrent use.
type Relay struct {
	keepaliveInterval time.Duration
	now               func() time.Time

	mu            sync.Mutex
	current       *config.Set
	confirmedAt   time.Time
	log           []logEntry
	loggedObjects int
	// fullParts caches the parts of the whole configuration at the current
	// revision.
	fullParts []*controlpb.ConfigUpdate
	// changed is closed and replaced when there is a new revision.
	changed chan struct{}
}

// NewRelay returns a relay without a configuration. keepaliveInterval is the
// interval of keepalives on an idle stream; 0 means DefaultKeepaliveInterval.
func NewRelay(keepaliveInterval time.Duration) *Relay {
	if keepaliveInterval <= 0 {
		keepaliveInterval = DefaultKeepaliveInterval
	}
	return &Relay{keepaliveInterval: keepaliveInterval, now: time.Now, changed: make(chan struct{})}
}

// Publish makes s, as declared, the set that is served. A set that is not newer
// than the current one is ignored.
func (r *Relay) Publish(s *config.Set) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil && !r.current.Revision.Less(s.Revision) {
		return nil
	}
	if err := r.appendToLog(s); err != nil {
		return err
	}
	r.current, r.fullParts = s, nil
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// Confirm records that no revision newer than the published one had been accepted
// at the given time. A time before the latest one is ignored.
func (r *Relay) Confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// Watch implements the Distribution service.
func (r *Relay) Watch(req *controlpb.WatchRequest, stream controlpb.DRPCDistribution_WatchStream) error {
	have := config.RevisionFromProto(req.Have)
	tick := time.NewTicker(r.keepaliveInterval)
	defer tick.Stop()
	for {
		updates, sentUpTo, changed, err := r.updatesSince(have)
		if err != nil {
			return err
		}
		for _, u := range updates {
			if err := stream.Send(u); err != nil {
				return err
			}
		}
		have = sentUpTo
		select {
		case <-stream.Context().Done():
			return nil
		case <-changed:
		case <-tick.C:
		}
	}
}

// updatesSince returns the messages that bring a watcher from revision have to the
// current one, and the revision that it has then. If have is already as new, the
// message is a keepalive.
func (r *Relay) updatesSince(have config.Revision) (updates []*controlpb.ConfigUpdate, at config.Revision, changed chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return nil, have, nil, errkind.New(errkind.NotReady, "no configuration has been received yet")
	}
	rev := r.current.Revision
	if !have.Less(rev) {
		u := &controlpb.ConfigUpdate{Revision: rev.ToProto(), Keepalive: true, AgeMs: r.confirmationAgeMs()}
		return []*controlpb.ConfigUpdate{u}, have, r.changed, nil
	}
	parts := r.deltaSince(have)
	if parts == nil {
		if parts, err = r.fullUpdate(); err != nil {
			return nil, have, nil, err
		}
	}
	return r.withAge(parts), rev, r.changed, nil
}

// confirmationAgeMs returns the age of the latest confirmation in milliseconds, or
// maxAgeMs if there is none.
func (r *Relay) confirmationAgeMs() uint64 {
	if r.confirmedAt.IsZero() {
		return maxAgeMs
	}
	return uint64(max(0, r.now().Sub(r.confirmedAt).Milliseconds()))
}

// withAge returns copies of the cached parts with the current confirmation age.
func (r *Relay) withAge(parts []*controlpb.ConfigUpdate) []*controlpb.ConfigUpdate {
	age := r.confirmationAgeMs()
	out := make([]*controlpb.ConfigUpdate, len(parts))
	for i, p := range parts {
		out[i] = &controlpb.ConfigUpdate{
			Revision: p.Revision, Full: p.Full, Base: p.Base,
			Upserts: p.Upserts, Deletes: p.Deletes, More: p.More, AgeMs: age,
		}
	}
	return out
}

// fullUpdate returns the parts of the whole configuration.
func (r *Relay) fullUpdate() ([]*controlpb.ConfigUpdate, error) {
	if r.fullParts != nil {
		return r.fullParts, nil
	}
	objs, err := r.current.Objects()
	if err != nil {
		return nil, err
	}
	r.fullParts = splitUpdate(&controlpb.ConfigUpdate{Revision: r.current.Revision.ToProto(), Full: true, Upserts: objs})
	return r.fullParts, nil
}
