package directory

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

const (
	// lookupTimeout is how long a router waits for the origin of a stream that is not known
	// yet: the time until the report of another router has come through another process.
	lookupTimeout = 2 * maxFlushInterval
	// maxLookups limits the streams that routers wait for.
	maxLookups = 4096
	// maxPendingOrigins limits the origins kept for another process that does not answer.
	maxPendingOrigins = 1 << 14
)

// originKeeper knows the software versions that began the fleet's streams.
type originKeeper struct {
	table *streamorigin.Table
	// lookups are the streams that routers wait to learn the origin of.
	lookups map[streamorigin.Stream]*originLookup
}

type originLookup struct {
	sessions map[*session]bool
	expires  time.Time
}

func newOriginKeeper() originKeeper {
	return originKeeper{table: streamorigin.NewTable(), lookups: map[streamorigin.Stream]*originLookup{}}
}

// recordOrigins records the origins of streams. direct is true if a router that reports here
// sent them, and not another directory process.
func (h *hub) recordOrigins(origins []*fleetpb.StreamOrigins, direct bool) {
	var changed []streamorigin.Record
	streamorigin.Decode(origins, func(s streamorigin.Stream, o streamorigin.Origin) {
		if !h.origins.table.Record(s, o, h.now()) {
			return
		}
		changed = append(changed, streamorigin.Record{Stream: s, Origin: o})
		if l := h.origins.lookups[s]; l != nil {
			delete(h.origins.lookups, s)
			for waiting := range l.sessions {
				h.answerLookups(waiting, []streamorigin.Record{{Stream: s, Origin: o}}, nil)
			}
		}
	})
	if direct {
		for _, p := range h.peers {
			p.addOrigins(changed)
		}
	}
}

// lookUpOrigins answers which version began the streams. What is not known is answered once
// it is, or after lookupTimeout.
func (h *hub) lookUpOrigins(s *session, streams []uint64) {
	var found []streamorigin.Record
	var unknown []uint64
	for _, hash := range streams {
		stream := streamorigin.Stream(hash)
		if o, known := h.origins.table.Lookup(stream); known {
			found = append(found, streamorigin.Record{Stream: stream, Origin: o})
			continue
		}
		l := h.origins.lookups[stream]
		if l == nil {
			if len(h.origins.lookups) >= maxLookups {
				unknown = append(unknown, hash)
				continue
			}
			l = &originLookup{sessions: map[*session]bool{}, expires: h.now().Add(lookupTimeout)}
			h.origins.lookups[stream] = l
		}
		l.sessions[s] = true
	}
	h.answerLookups(s, found, unknown)
}

// expireLookups answers the lookups that have waited long enough.
func (h *hub) expireLookups() {
	unknown := map[*session][]uint64{}
	for stream, l := range h.origins.lookups {
		if h.now().Before(l.expires) {
			continue
		}
		delete(h.origins.lookups, stream)
		for s := range l.sessions {
			unknown[s] = append(unknown[s], uint64(stream))
		}
	}
	for s, streams := range unknown {
		h.log.Info("origins of streams not known", "router", s.router, "streams", len(streams))
		h.answerLookups(s, nil, streams)
	}
}

func (h *hub) answerLookups(s *session, found []streamorigin.Record, unknown []uint64) {
	if len(found)+len(unknown) > 0 && h.sessions[s] {
		s.push(h.withStatus(&fleetpb.FollowUpdate{Origins: streamorigin.Encode(found), UnknownStreams: unknown}))
	}
}

// addOrigins marks origins to be sent with the next call, the newest ones if there are too
// many.
func (p *peer) addOrigins(records []streamorigin.Record) {
	p.origins = append(p.origins, records...)
	p.origins = p.origins[max(0, len(p.origins)-maxPendingOrigins):]
}
