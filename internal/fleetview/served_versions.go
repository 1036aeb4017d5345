package fleetview

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// setServedVersions replaces the software versions that one directory process has recorded. Those that a process
// recorded which the router does not follow any more are kept until then.
func (v *View) setServedVersions(l *link, versions []inventory.ServedVersion) {
	l.servedVersions = versions
	var all []inventory.ServedVersion
	for _, followed := range v.links {
		all = append(all, followed.servedVersions...)
	}
	v.opts.Fleet.SetServedVersions(all)
	v.opts.Fleet.Update(v.table, time.Now())
}
