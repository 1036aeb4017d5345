package directory

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

const (
	// minCompressedList is the number of servers from which their list is compressed.
	minCompressedList = 300
	// listTTL is how long a compressed list is sent again: compressing it takes a small VM
	// several milliseconds.
	listTTL = 500 * time.Millisecond
)

// listUpdate returns the update with the list of all servers.
func (h *hub) listUpdate() *fleetpb.FollowUpdate {
	if h.table.Len() < minCompressedList {
		return h.withStatus(&fleetpb.FollowUpdate{Announcements: h.allAnnouncements()})
	}
	if h.now().Sub(h.compressedListAt) >= listTTL {
		list, err := inventory.Compress(h.allAnnouncements())
		if err != nil {
			h.log.Error("list of servers not compressed", "servers", h.table.Len(), "error", err)
			return h.withStatus(&fleetpb.FollowUpdate{Announcements: h.allAnnouncements()})
		}
		h.compressedList, h.compressedListAt = list, h.now()
	}
	return h.withStatus(&fleetpb.FollowUpdate{Servers: h.compressedList})
}
