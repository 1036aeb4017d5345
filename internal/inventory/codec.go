package inventory

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// Encode returns the announcement of a server, with its times relative to now.
func Encode(s *Server, now time.Time) *fleetpb.Announcement {
	return &fleetpb.Announcement{
		Id: s.ID, Born: s.Born, Sequence: s.Sequence, Service: s.Service, Address: s.Address,
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
	if a.ColdMs > 0 {
		out.ColdUntil = now.Add(time.Duration(a.ColdMs) * time.Millisecond)
	}
	return out
}

// maxListBytes limits a decompressed list of servers.
const maxListBytes = 64 << 20

// Compress returns a compressed list of servers.
func Compress(list []*fleetpb.Announcement) ([]byte, error) {
	data, err := proto.Marshal(&fleetpb.ServerList{Announcements: list})
	if err != nil {
		return nil, errors.Wrap(err, "encode the list of servers")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress the list of servers")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress the list of servers")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the list of servers")
	}
	return out.Bytes(), nil
}

// Decompress returns the list that Compress has compressed.
func Decompress(data []byte) ([]*fleetpb.Announcement, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxListBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the list of servers")
	}
	list := &fleetpb.ServerList{}
	if err := proto.Unmarshal(plain, list); err != nil {
		return nil, errors.Wrap(err, "decode the list of servers")
	}
	return list.Announcements, nil
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
