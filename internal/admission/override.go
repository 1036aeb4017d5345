package admission

import (
	"slices"
	"strings"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

// Override takes a target out, or puts it back, without the control group.
type Override struct {
	// Target is "dataCentre/<name>" or "backendServer/<name>".
	Target  string
	Out     bool
	StampMS uint64
	Reason  string
}

// Override puts an override in force unless a later one of its target is.
// It reports whether anything changed.
func (c *Core) Override(now Instant, o Override) bool {
	before, known := c.overrides[o.Target]
	if known && o.StampMS <= before.StampMS {
		return false
	}
	c.overrides[o.Target] = o
	c.applyOut()
	if name, ok := strings.CutPrefix(o.Target, "backendServer/"); ok {
		if i, known := c.byName[name]; known {
			c.servers[i].declare(c)
		}
	}
	c.refresh(now)
	if c.out {
		c.refuseAll()
	}
	c.pumpAll(now)
	return true
}

// Overrides returns the overrides known, in the order of targets.
func (c *Core) Overrides() []Override {
	all := make([]Override, 0, len(c.overrides))
	for _, o := range c.overrides {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Override) int { return strings.Compare(a.Target, b.Target) })
	return all
}

func (c *Core) overridden(target string) bool { return c.overrides[target].Out }

// applyOut finds the data centre's own state and limit.
func (c *Core) applyOut() {
	dc := c.set.DataCentres[c.dataCentre]
	c.out = c.overridden("dataCentre/"+c.dataCentre) || (dc != nil && dc.State == config.Out)
	c.maxInFlight = 0
	if dc != nil {
		c.maxInFlight = dc.MaxInFlight
	}
}

// Load returns the data centre's aggregate load.
func (c *Core) Load() *grantpb.DataCentreLoad {
	l := &grantpb.DataCentreLoad{InFlight: uint32(c.live), Out: c.out}
	for i := range c.hot {
		l.Capacity += uint32(c.hot[i].limit)
	}
	for _, s := range c.services {
		l.Queued += uint32(s.queued)
	}
	return l
}

// Status reports every server known, in the order of names.
func (c *Core) Status(now Instant) []*grantpb.ServerStatus {
	all := make([]*grantpb.ServerStatus, 0, len(c.servers))
	for i, s := range c.servers {
		all = append(all, &grantpb.ServerStatus{
			Name: s.name, Service: s.service, State: c.stateText(now, s), InFlight: uint32(c.hot[i].live),
			Limit: uint32(c.hot[i].limit), Reported: uint32(s.reported),
			SilentMs: uint64((now - s.heard).Milliseconds()), Address: s.address,
		})
	}
	slices.SortFunc(all, func(a, b *grantpb.ServerStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// stateText says in one word why the server has the limit that it has.
func (c *Core) stateText(now Instant, s *server) string {
	sv := c.services[s.service]
	switch {
	case s.declaredOut || c.out:
		return "out"
	case s.state == grantpb.ServerState_SERVER_STATE_LEAVING:
		return "leaving"
	case c.isSilent(now, s):
		return "silent"
	case !s.confirmed:
		return "unconfirmed"
	case now < s.ejectedUntil:
		return "ejected"
	case now < s.heldUntil:
		return "held-down"
	case s.state != grantpb.ServerState_SERVER_STATE_READY || now < s.rampFrom:
		return "cold"
	case sv != nil && now-s.rampFrom < sv.coldRamp:
		return "ramping"
	}
	return "ready"
}
