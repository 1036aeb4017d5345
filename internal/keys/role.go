package keys

import (
	"strings"

	"storj.io/drpc"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// MethodRoles maps a drpc method, or a service prefix that ends in "/", to the
// roles that may call it. An entry for the method takes precedence over one for
// the service; a method without an entry is denied to all roles.
type MethodRoles map[string][]string

// FleetRoles defines the roles that may call each method of the fleet's services.
var FleetRoles = MethodRoles{
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
func (r MethodRoles) rolesOf(method string) []string {
	if roles, ok := r[method]; ok {
		return roles
	}
	if i := strings.LastIndexByte(method, '/'); i >= 0 {
		return r[method[:i+1]]
	}
	return nil
}

// Allows reports whether the role may call the method.
func (r MethodRoles) Allows(role, method string) bool {
	for _, allowed := range r.rolesOf(method) {
		if allowed == role {
			return true
		}
	}
	return false
}

// RequireRole returns a handler that rejects calls from peers that are unauthenticated
// or whose role may not call the method. With enforce false, for a fleet without
// TLS, every call is allowed.
func RequireRole(next drpc.Handler, roles MethodRoles, enforce bool) drpc.Handler {
	if !enforce {
		return next
	}
	return &authoriser{next: next, roles: roles}
}

type authoriser struct {
	next  drpc.Handler
	roles MethodRoles
}

// HandleRPC implements drpc.Handler.
func (g *authoriser) HandleRPC(stream drpc.Stream, method string) error {
	name, role, ok := PeerIdentity(stream.Context())
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the peer presented no client certificate with a known role")
	}
	if !g.roles.Allows(role, method) {
		return errkind.New(errkind.Unauthorised, "%s %q may not call %s", role, name, method)
	}
	return g.next.HandleRPC(stream, method)
}
