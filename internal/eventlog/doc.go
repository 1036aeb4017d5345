// Package eventlog writes the log of a process without blocking the process. Lines are
// appended to a bounded buffer, which one goroutine writes to the output. Lines that do
// not fit into the buffer are dropped and counted.
//
// A Sampler limits the lines of each kind per second. With the next line of a kind that
// it allows, it returns how many were suppressed before.
package eventlog
