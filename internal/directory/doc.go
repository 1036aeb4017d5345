// Package directory is the control process of a fleet whose members are not
// declared. It replicates the configuration and the data centres that are taken
// out, takes in announcements of backend servers, and tells the routers of both.
//
//   - The replication group is founded by the processes that the settings name as
//     seeds at the first start. Others join through any of them, a process with
//     an empty disk replaces the voter that it was, and a voter that stays silent
//     is removed once another has taken its place (roster.go).
//   - Any process takes an operator's change and passes it to the leader; it is
//     acknowledged once a majority holds it on disk (operations.go).
//   - Announcements are kept in memory by the process that received them, passed
//     to the other processes when they change something, and told to the routers
//     (news.go). Nobody elects an owner of the list, so a data centre that is cut
//     off goes on with the servers that it hears.
//   - A router has a session with each process and reports what it has in flight to
//     one of them (hub.go). That one sends it new revisions and what other processes
//     passed on (catchup.go).
//   - The leader decides on the servers' places (places.go).
//   - A router's session confirms, by a round to a quorum, how new the router's
//     configuration is (follow.go). A router without confirmations knows that it
//     may be behind.
package directory
