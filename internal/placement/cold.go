package placement

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// coldWindow is the sliding window over which a cold server's requests are
	// counted.
	coldWindow = time.Second
	// coldBoundFraction is the fraction of a cold server's bound that the known
	// routers use together. The rest covers routers that are not counted yet.
	coldBoundFraction = 0.7
	// drawFraction scales a router's share of the requests per second, if it is
	// less than 1, to the probability that the router is drawn to send to a cold
	// server.
	drawFraction = 0.6
)

// admitCold counts a request to a server that may be cold, and reports whether the
// request is within this router's quota.
func (s *Server) admitCold(f *Fleet, service *catalog.Service, now time.Time) bool {
	if !now.Before(s.coldUntil) && !s.hasEnded() {
		s.coldSends = nil
		return true
	}
	for len(s.coldSends) > 0 && now.Sub(s.coldSends[0]) > coldWindow {
		s.coldSends = s.coldSends[1:]
	}
	if len(s.coldSends) >= f.coldQuota(service, s.hash) {
		return false
	}
	s.coldSends = append(s.coldSends, now)
	return true
}

// coldQuota returns the number of requests per second that this router may send to
// a cold server. If there are more routers than requests per second, only some
// routers send to a given server: they are drawn by hash, and few enough on
// average that their number stays below the bound despite its variance.
func (f *Fleet) coldQuota(service *catalog.Service, server uint64) int {
	total := (service.ColdRate*f.bounds.ColdFactor + f.bounds.ColdSlack) * coldBoundFraction
	share := total / float64(f.routers.Load())
	if share >= 1 {
		return int(share)
	}
	drawn := routing.Fraction(routing.Mix(f.routerHash, server))
	if drawn < share*drawFraction {
		return 1
	}
	return 0
}
