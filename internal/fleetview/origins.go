package fleetview

import (
	"context"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// originTimeout limits waiting for the origin of a stream. It exceeds the time after which
// the directory answers, by the time in which a lost session is replaced.
const originTimeout = time.Second

// StreamOrigin returns which version of which service began a stream, and known false if neither
// this router nor the directory knows it. serversKnown is set if, besides, this router now knows all
// servers that were in use before it asked. A router that is cut off or has stood still does not know
// that of itself, however long it has known all of them before. StreamOrigin does not wait for the
// origin once all servers are known, if they suffice.
func (v *View) StreamOrigin(ctx context.Context, s streamorigin.Stream, suffice func() bool) (origin streamorigin.Origin, known, serversKnown bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	return v.origins.Lookup(ctx, s, v.reportNow, suffice)
}
