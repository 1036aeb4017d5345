package fleetview

import (
	"context"
	"slices"
)

// Handoffs returns the addresses of other routers that take over requests. The slice must not
// be modified.
func (v *View) Handoffs() []string { return *v.handoffList.Load() }

// setHandoffs replaces the routers that one directory process named. What others named that are
// no longer followed is only kept until then, for a router that has lost all of them.
func (v *View) setHandoffs(process string, addresses []string) {
	for p := range v.handoffs {
		if v.links[p] == nil {
			delete(v.handoffs, p)
		}
	}
	v.handoffs[process] = addresses
	var all []string
	for _, list := range v.handoffs {
		all = append(all, list...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	v.handoffList.Store(&all)
}

// handoffAddress returns the address at which this router takes over requests.
func (v *View) handoffAddress() string {
	if v.opts.HandoffAddress == nil {
		return ""
	}
	return v.opts.HandoffAddress()
}

// HandoffAddressChanged tells the directory the current address.
func (v *View) HandoffAddressChanged(ctx context.Context) {
	v.enqueue(ctx, func() {
		for _, l := range v.links {
			l.sendNow()
		}
	})
}
