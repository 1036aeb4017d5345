// Package router assembles the process kqrouter: the callers' listener, the
// announce listener, the fleet listener (grantor, lease votes, configuration for
// other routers) and the admin listener (metrics, health, readiness).
//
// Everything is started at once and waits for peers that are not there yet;
// readiness tells when a configuration is in force and the grantor of the
// router's own data centre has been reached. A shutdown is in declared steps,
// each bounded; see shutdown.go.
package router
