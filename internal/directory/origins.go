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
	askedAt  time.Time
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
				h.answerLookups(waiting, []streamorigin.Record{{Stream: s, Origin: o}}, nil, false)
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
			l = &originLookup{sessions: map[*session]bool{}, askedAt: h.now()}
			h.origins.lookups[stream] = l
		}
		l.sessions[s] = true
	}
	h.answerLookups(s, found, unknown, false)
}

// expireLookups answers the lookups that have waited long enough.
func (h *hub) expireLookups() {
	type answer struct {
		session *session
		// whole is set if this process knows all servers that were in use when it was asked.
		whole bool
	}
	unknown := map[answer][]uint64{}
	for stream, l := range h.origins.lookups {
		if h.now().Sub(l.askedAt) < lookupTimeout {
			continue
		}
		delete(h.origins.lookups, stream)
		for s := range l.sessions {
			a := answer{s, h.knowsServersSince(l.askedAt)}
			unknown[a] = append(unknown[a], uint64(stream))
		}
	}
	for a, streams := range unknown {
		h.log.Info("origins of streams not known", "router", a.session.router, "streams", len(streams), "servers-known", a.whole)
		h.answerLookups(a.session, nil, streams, a.whole)
	}
}

// knowsServersSince reports whether this process knows all servers that were in use at a time:
// each other process, which relays what servers announce to it, has been heard after that.
func (h *hub) knowsServersSince(at time.Time) bool {
	if !h.knowsAllServers || h.leader == "" {
		return false
	}
	for _, a := range h.members {
		if r := h.peerReports[a]; a != h.ownAddress && (r == nil || !r.receivedAt.After(at)) {
			return false
		}
	}
	return true
}

func (h *hub) answerLookups(s *session, found []streamorigin.Record, unknown []uint64, serversKnown bool) {
	if len(found)+len(unknown) == 0 || !h.sessions[s] {
		return
	}
	if serversKnown && len(h.directChanges)+len(h.relayedChanges) > 0 {
		h.broadcastChanges() // The router is to have them before the answer.
	}
	serversKnown = serversKnown && s.load != nil && s.listSent && !s.listDue
	s.push(h.withStatus(&fleetpb.FollowUpdate{Origins: streamorigin.Encode(found), UnknownStreams: unknown, ServersKnown: serversKnown}))
}

// addOrigins marks origins to be sent with the next call, the newest ones if there are too
// many.
func (p *peer) addOrigins(records []streamorigin.Record) {
	p.origins = append(p.origins, records...)
	p.origins = p.origins[max(0, len(p.origins)-maxPendingOrigins):]
}
