//go:build review

// Command stage runs the scripts of the second review: it starts kqplatform processes on
// loopback addresses and plays the platform, operators, runners and requesters around them.
package main
