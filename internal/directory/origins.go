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
	// sessions are those that wait; true once they were told that their router knows all servers.
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
		if !l.sessions[s] {
			l.sessions[s] = false
		}
	}
	h.answerLookups(s, found, unknown, false)
	h.confirmLookups()
}

// expireLookups answers the lookups that have waited long enough.
func (h *hub) expireLookups() {
	type answer struct {
		session      *session
		serversKnown bool
	}
	unknown, until := map[answer][]uint64{}, h.serversKnownUntil()
	for stream, l := range h.origins.lookups {
		if h.now().Sub(l.askedAt) < lookupTimeout {
			continue
		}
		delete(h.origins.lookups, stream)
		for s := range l.sessions {
			a := answer{s, until.After(l.askedAt)}
			unknown[a] = append(unknown[a], uint64(stream))
		}
	}
	for a, streams := range unknown {
		h.log.Info("origins of streams not known", "router", a.session.router, "streams", len(streams), "servers-known", a.serversKnown)
		h.answerLookups(a.session, nil, streams, a.serversKnown)
	}
}

// serversKnownUntil returns the time up to which this process knows all servers that came into use.
// Each other process relays what servers announce to it, in one call after the other: a call was
// begun after the one before it had arrived here.
func (h *hub) serversKnownUntil() time.Time {
	if h.machine.State().Revision < h.newestConfirmed {
		return time.Time{} // The versions that were recorded are not all known here either.
	}
	return h.serversRelayedUntil(h.members)
}

// serversRelayedUntil is serversKnownUntil for the servers that announce themselves to this process or to the
// given ones.
func (h *hub) serversRelayedUntil(members []string) time.Time {
	if !h.knowsAllServers || h.leader == "" {
		return time.Time{}
	}
	until := h.now().Add(time.Nanosecond) // What happens now is known, if there is no other process.
	for _, a := range members {
		switch r := h.peerReports[a]; {
		case a == h.ownAddress:
		case r == nil:
			return time.Time{}
		case r.previousAt.Before(until):
			until = r.previousAt
		}
	}
	return until
}

// confirmLookups tells routers that wait for the origins of streams once they know all servers: if
// those have one version, the origin does not matter.
func (h *hub) confirmLookups() {
	if len(h.origins.lookups) == 0 {
		return
	}
	confirmed, until := map[*session][]uint64{}, h.serversKnownUntil()
	for stream, l := range h.origins.lookups {
		if !until.After(l.askedAt) {
			continue
		}
		for s, told := range l.sessions {
			if !told && s.hasAllServers() {
				l.sessions[s] = true
				confirmed[s] = append(confirmed[s], uint64(stream))
			}
		}
	}
	if len(confirmed) > 0 {
		h.sendPendingChanges()
	}
	for s, streams := range confirmed {
		if h.sessions[s] {
			s.push(h.withStatus(&fleetpb.FollowUpdate{ServersKnownStreams: streams}))
		}
	}
}

// sendPendingChanges sends the changes of servers that routers have yet to be sent.
func (h *hub) sendPendingChanges() {
	if len(h.directChanges)+len(h.relayedChanges) > 0 {
		h.broadcastChanges()
	}
}

// hasAllServers reports whether the router was sent all servers that this process knows, except for
// changes that are pending.
func (s *session) hasAllServers() bool { return s.load != nil && s.listSent && !s.listDue }

func (h *hub) answerLookups(s *session, found []streamorigin.Record, unknown []uint64, serversKnown bool) {
	if len(found)+len(unknown) == 0 || !h.sessions[s] {
		return
	}
	if serversKnown = serversKnown && s.hasAllServers(); serversKnown {
		h.sendPendingChanges()
	}
	s.push(h.withStatus(&fleetpb.FollowUpdate{Origins: streamorigin.Encode(found), UnknownStreams: unknown, ServersKnown: serversKnown}))
}

// addOrigins marks origins to be sent with the next call, the newest ones if there are too
// many.
func (p *peer) addOrigins(records []streamorigin.Record) {
	p.origins = append(p.origins, records...)
	p.origins = p.origins[max(0, len(p.origins)-maxPendingOrigins):]
}
