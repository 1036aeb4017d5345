// Package router assembles the process kqrouter. It has a listener for clients, a
// listener for announcements of backend servers, a fleet listener (grantor, lease
// votes, configuration for other routers) and an admin listener (metrics, health,
// readiness).
//
// All components start at once and retry until their peers are reachable. The router
// is ready once a configuration is in force and a grantor has been reached. A graceful
// shutdown runs in steps, each with a time limit from the settings; see shutdown.go.
package router
