package admission

import (
	"slices"
	"strings"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

// Override takes a target out of service, or puts it back, locally, without the
// control group.
type Override struct {
	// Target is "dataCentre/<name>" or "backendServer/<name>".
	Target  string
	Out     bool
	StampMS uint64
	Reason  string
}

// Override applies an override unless one with the same or a later stamp is known
// for its target. It reports whether the override was applied.
func (c *Core) Override(now Instant, o Override) bool {
	before, known := c.overrides[o.Target]
	if known && o.StampMS <= before.StampMS {
		return false
	}
	c.overrides[o.Target] = o
	c.applyDataCentreConfig()
	if name, ok := strings.CutPrefix(o.Target, "backendServer/"); ok {
		if i, known := c.byName[name]; known {
			c.servers[i].applyConfig(c)
		}
	}
	c.refreshLimits(now)
	if c.dataCentreOut {
		c.refuseDataCentreOut()
	}
	c.dispatchAll(now)
	return true
}

// Overrides returns the known overrides, sorted by target.
func (c *Core) Overrides() []Override {
	all := make([]Override, 0, len(c.overrides))
	for _, o := range c.overrides {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Override) int { return strings.Compare(a.Target, b.Target) })
	return all
}

func (c *Core) overridden(target string) bool { return c.overrides[target].Out }

// applyDataCentreConfig updates the data centre's own state and limit.
func (c *Core) applyDataCentreConfig() {
	dc := c.set.DataCentres[c.dataCentre]
	c.dataCentreOut = c.overridden("dataCentre/"+c.dataCentre) || (dc != nil && dc.State == config.StateOut)
	c.maxInFlight = 0
	if dc != nil {
		c.maxInFlight = dc.MaxInFlight
	}
}

// Load returns the data centre's aggregate load.
func (c *Core) Load() *grantpb.DataCentreLoad {
	l := &grantpb.DataCentreLoad{InFlight: uint32(c.inFlight), Out: c.dataCentreOut}
	for i := range c.loads {
		l.Capacity += uint32(c.loads[i].limit)
	}
	for _, s := range c.services {
		l.Queued += uint32(s.queued)
	}
	return l
}

// Status returns the status of every known server, sorted by name.
func (c *Core) Status(now Instant) []*grantpb.ServerStatus {
	all := make([]*grantpb.ServerStatus, 0, len(c.servers))
	for i, s := range c.servers {
		all = append(all, &grantpb.ServerStatus{
			Name: s.name, Service: s.service, State: c.stateText(now, s), InFlight: uint32(c.loads[i].inFlight),
			Limit: uint32(c.loads[i].limit), Reported: uint32(s.reportedInFlight),
			SilentMs: uint64((now - s.lastHeard).Milliseconds()), Address: s.address,
		})
	}
	slices.SortFunc(all, func(a, b *grantpb.ServerStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// stateText returns the state that determines the server's limit.
func (c *Core) stateText(now Instant, s *server) string {
	sv := c.services[s.service]
	switch {
	case s.declaredOut || c.dataCentreOut:
		return "out"
	case s.state == grantpb.ServerState_SERVER_STATE_LEAVING:
		return "leaving"
	case c.isSilent(now, s):
		return "silent"
	case !s.confirmed:
		return "unconfirmed"
	case now < s.ejectedUntil:
		return "ejected"
	case now < s.heldDownUntil:
		return "held-down"
	case s.state != grantpb.ServerState_SERVER_STATE_READY || now < s.rampFrom:
		return "cold"
	case sv != nil && now-s.rampFrom < sv.coldRamp:
		return "ramping"
	}
	return "ready"
}
