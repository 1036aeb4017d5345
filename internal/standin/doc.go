// Package standin simulates the backend servers of the fleet: model engines and
// plain services. The simulators, called stand-ins, are used only by tests, the
// demo and measurements.
//
// Engine is the core of a stand-in without input or output. It simulates slots,
// continuous batching, a prompt-prefix cache of limited size, cold start, load
// reports that lag, and cache events that are delayed and sometimes lost. It
// takes the time as an argument and opens no socket, so that measurements can run
// it on a virtual clock.
//
// Server puts an Engine behind HTTP: streams that can be resumed at an offset and
// cancelled, plain calls that must not be repeated, faults drawn from a seed, and
// heartbeats that announce the server to the routers. A Ledger records each
// execution; a checker compares it with the responses that callers received.
//
// The response to a request is a function of the request, see ResponseChunks. A
// checker that knows the request therefore knows every byte of the correct
// response.
//
// Limits: the token interval of a run is fixed when the run starts, a token is
// four bytes of the prompt, and generated tokens are not added to the prefix
// cache.
package standin
