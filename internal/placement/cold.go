package placement

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// coldSpan is the span over which a cold server's requests are counted.
	coldSpan = time.Second
	// coldMargin is the part of a cold server's bound that routers use together;
	// the rest covers routers that are not counted yet.
	coldMargin = 0.7
	// drawnPart is the part of the share of a second's requests that becomes the
	// chance of a router to be drawn for a cold server.
	drawnPart = 0.6
)

// takeCold counts a request to a server that may be cold.
func (s *Server) takeCold(f *Fleet, service *catalog.Service, now time.Time) bool {
	if !now.Before(s.coldUntil) {
		s.sent = nil
		return true
	}
	for len(s.sent) > 0 && now.Sub(s.sent[0]) > coldSpan {
		s.sent = s.sent[1:]
	}
	if len(s.sent) >= f.coldShare(service, s.hash) {
		return false
	}
	s.sent = append(s.sent, now)
	return true
}

// coldShare is the number of requests that this router may send a cold server in
// a second. Where the routers are more than the requests, each server is left to
// some of them, drawn by hash and few enough that their number varies below the
// bound.
func (f *Fleet) coldShare(service *catalog.Service, server uint64) int {
	total := (service.ColdRate*f.bounds.ColdFactor + f.bounds.ColdSlack) * coldMargin
	share := total / float64(f.routers.Load())
	if share >= 1 {
		return int(share)
	}
	drawn := float64(routing.Mix(f.name, server)>>11) / (1 << 53)
	if drawn < share*drawnPart {
		return 1
	}
	return 0
}
