// Package streamorigin keeps which software version of which service began each stream.
//
// What two versions write does not fit together, so a stream may be resumed only at the
// version that began it. A client may resume it at any router, also once the first one is
// gone: each router reports the origins of its streams to the directory, whose processes
// exchange them, and a router that does not know the origin of a stream asks there.
//
// Table is a deterministic state machine: the current time is an argument.
//
// Limits: a router that is killed before its report has left loses the origins in it. A stream whose
// origin is unknown is not resumed while servers of several versions are known, or while a router
// that has just started does not know all servers.
package streamorigin
