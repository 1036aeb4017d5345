package fleetview

import (
	"context"
	"slices"
)

// Relays returns the addresses of other routers that take over requests. The slice must not
// be modified.
func (v *View) Relays() []string { return *v.relayList.Load() }

// setRelays replaces the routers that one directory process named. What others named that are
// no longer followed is only kept until then, for a router that has lost all of them.
func (v *View) setRelays(process string, addresses []string) {
	for p := range v.relays {
		if v.links[p] == nil {
			delete(v.relays, p)
		}
	}
	v.relays[process] = addresses
	var all []string
	for _, list := range v.relays {
		all = append(all, list...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	v.relayList.Store(&all)
}

// relayAddress returns the address at which this router takes over requests.
func (v *View) relayAddress() string {
	if v.opts.RelayAddress == nil {
		return ""
	}
	return v.opts.RelayAddress()
}

// RelayAddressChanged tells the directory the current address.
func (v *View) RelayAddressChanged(ctx context.Context) {
	v.enqueue(ctx, func() {
		for _, l := range v.links {
			l.sendNow()
		}
	})
}
