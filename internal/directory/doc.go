// Package directory implements the control process of a fleet with dynamic
// membership. It replicates the configuration and the list of evacuated data
// centres, receives announcements from backend servers, and distributes all of it
// to the routers.
//
//   - The processes that the settings list as seeds create the replication group at
//     the first start. Other processes join through any of them. A process that
//     returns with an empty disk replaces its former voter, and a silent voter is
//     removed once a replacement has joined (voters.go).
//   - Any process accepts an operator's change and forwards it to the leader. The
//     change is acknowledged once a majority has it on disk (operations.go).
//   - Announcements are kept in memory by the process that received them. Those that
//     change a server are broadcast to the routers (changes.go) and relayed to the other
//     processes, as are heartbeats and the load of the routers (peers.go). The server
//     list has no elected owner, so a partitioned data centre keeps working with the
//     servers that still reach it.
//   - That a server leaves is replicated before it is acknowledged (departures.go).
//   - A router has sessions with two processes and reports its requests in flight to
//     one of them (hub.go). That process sends it new revisions, the changes relayed by
//     other processes and the load of all routers (catchup.go).
//   - The leader assigns places to servers (places.go).
//   - A router's session confirms by a quorum round how recent the router's
//     configuration is (follow.go). A router without confirmations knows that its
//     configuration may be stale.
package directory
