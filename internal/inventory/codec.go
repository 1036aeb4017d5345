package inventory

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// noAddressPrefix begins the address in the announcement of a departed server whose address is not
// known.
const noAddressPrefix = "departed/"

// Encode returns the announcement of a server, with its times relative to now.
func Encode(s *Server, now time.Time) *fleetpb.Announcement {
	address := s.Address
	if address == "" {
		// Processes of earlier releases let one server have an address, an empty one included.
		address = noAddressPrefix + s.ID
	}
	return &fleetpb.Announcement{
		Id: s.ID, Born: s.Born, Sequence: s.Sequence, Service: s.Service, Address: address,
		DataCentre: s.DataCentre, Version: s.Version, Slots: uint32(s.Slots), State: fleetpb.ServerState(s.State),
		ColdMs: uint32(max(0, s.ColdUntil.Sub(now).Milliseconds())),
		AgeMs:  uint32(max(0, now.Sub(s.LastSeen).Milliseconds())),
	}
}

// Decode returns the server that an announcement describes. The announcement's
// times are relative to now.
func Decode(a *fleetpb.Announcement, now time.Time) Server {
	out := Server{
		ID: a.Id, Born: a.Born, Sequence: a.Sequence, Service: a.Service, Address: a.Address,
		DataCentre: a.DataCentre, Version: a.Version, Slots: int(a.Slots), State: State(a.State),
		LastSeen: now.Add(-time.Duration(a.AgeMs) * time.Millisecond),
	}
	if a.Address == noAddressPrefix+a.Id {
		out.Address = ""
	}
	if a.ColdMs > 0 {
		out.ColdUntil = now.Add(time.Duration(a.ColdMs) * time.Millisecond)
	}
	return out
}

// EncodeLoad returns the message for the requests in flight by server, which is named by
// the low 32 bits of the hash of its id.
func EncodeLoad(inFlight map[uint32]int) *fleetpb.Load {
	out := &fleetpb.Load{}
	for server, n := range inFlight {
		out.Servers = append(out.Servers, server)
		out.InFlight = append(out.InFlight, uint32(n))
	}
	return out
}

// AddLoad adds the requests in flight of a message, which may be nil, to sum. Servers
// without a number are left out.
func AddLoad(sum map[uint32]int, l *fleetpb.Load) {
	for i, server := range l.GetServers() {
		if i < len(l.InFlight) {
			sum[server] += int(l.InFlight[i])
		}
	}
}
