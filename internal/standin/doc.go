// Package standin holds stand-ins of what the fleet serves: model engines and
// plain services. They exist for tests, the demo and measuring only.
//
// Engine is the pure core of a stand-in: slots, continuous batching, a
// prompt-prefix cache of limited size, cold start, lagged load reports, and
// cache events that come late and with gaps. It takes the time as an argument
// and opens no socket, so that measurements drive it under a virtual clock.
//
// Server puts an Engine behind HTTP: streams that resume by offset and can be
// cancelled, plain calls that may not be repeated, faults by seed, and
// heartbeats that announce the server to the routers. A Ledger records each
// execution; a checker compares it with what callers were told.
//
// The answer to a request is a function of the request, see Answer. So a
// checker that knows the request knows every byte of the right answer.
//
// Limits: the pace of a run is fixed when it starts, a token is four bytes of
// the prompt, and generated tokens are not kept in the prefix cache.
package standin
