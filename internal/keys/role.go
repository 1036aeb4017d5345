package keys

import (
	"strings"

	"storj.io/drpc"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Roles maps a drpc method, or a service's prefix that ends in "/", to the
// roles that may call it. The longest match counts; a method without a match
// may be called by nobody.
type Roles map[string][]string

// FleetRoles says who may make which of the fleet's calls.
var FleetRoles = Roles{
	"/kumquathollow.control.v1.Control/Apply":        {RoleOperator},
	"/kumquathollow.control.v1.Control/ChangeVoter":  {RoleOperator},
	"/kumquathollow.control.v1.Control/SaveSnapshot": {RoleOperator},
	"/kumquathollow.control.v1.Control/History":      {RoleOperator},
	"/kumquathollow.control.v1.Control/Status":       {RoleOperator, RoleControl, RoleRouter},
	"/kumquathollow.control.v1.Control/Get":          {RoleOperator, RoleControl, RoleRouter},
	"/kumquathollow.control.v1.Control/Claim":        {RoleRouter, RoleControl},
	"/kumquathollow.control.v1.Control/Settle":       {RoleRouter, RoleControl},
	"/kumquathollow.control.v1.Control/Heartbeat":    {RoleRouter, RoleControl},
	"/kumquathollow.control.v1.Distribution/":        {RoleRouter, RoleControl},
	"/kumquathollow.grant.v1.Grantor/Session":        {RoleRouter},
	"/kumquathollow.grant.v1.Grantor/Override":       {RoleOperator},
	"/kumquathollow.grant.v1.Grantor/GrantorStatus":  {RoleOperator, RoleRouter},
	"/kumquathollow.grant.v1.LeaseVoter/":            {RoleRouter, RoleControl},
	"/kumquathollow.replication.v1.Peer/":            {RoleControl},
	"/kumquathollow.replication.v1.Forward/":         {RoleControl},
}

// rolesOf returns the roles that may call the method.
func (r Roles) rolesOf(method string) []string {
	if roles, ok := r[method]; ok {
		return roles
	}
	if i := strings.LastIndexByte(method, '/'); i >= 0 {
		return r[method[:i+1]]
	}
	return nil
}

// Allows reports whether the role may call the method.
func (r Roles) Allows(role, method string) bool {
	for _, allowed := range r.rolesOf(method) {
		if allowed == role {
			return true
		}
	}
	return false
}

// Guard returns a handler that refuses calls whose peer has not proved a role
// that may make them. With enforce false, for a fleet without TLS, every call
// passes.
func Guard(next drpc.Handler, roles Roles, enforce bool) drpc.Handler {
	if !enforce {
		return next
	}
	return &guard{next: next, roles: roles}
}

type guard struct {
	next  drpc.Handler
	roles Roles
}

// HandleRPC implements drpc.Handler.
func (g *guard) HandleRPC(stream drpc.Stream, method string) error {
	name, role, ok := Peer(stream.Context())
	if !ok {
		return errkind.New(errkind.Unauthenticated, "no certificate was shown")
	}
	if !g.roles.Allows(role, method) {
		return errkind.New(errkind.Unauthorised, "%s %q may not call %s", role, name, method)
	}
	return g.next.HandleRPC(stream, method)
}
