// Package eventlog writes a process's structured log without ever making the
// process wait: lines go into a bounded buffer that one goroutine empties, and
// lines that do not fit are dropped and counted.
//
// Repeated lines are sampled by a Sampler, which bounds the lines of one kind
// per second and tells, with the next line of that kind, how many were left out.
package eventlog
