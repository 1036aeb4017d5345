// Package measure compares placement policies for requests to model engines. It is
// a discrete-event simulation with seeded random numbers, so its tables are equal
// on all machines.
//
// Generate makes a trace of requests of multi-turn chats. A Policy decides where
// each request runs. The engines are simulated, with slots, a prompt cache of
// limited size and a cold start. The baselines see the fleet as routers do: through
// server lists that differ between routers for seconds, and delayed load reports.
// The policy "permits" runs the real packages admission and routing. The oracle
// knows the state of all caches and loads and is the upper bound.
//
// Limits: arrivals are open-loop (they do not depend on the responses), the
// network has a constant delay, and an engine decodes at a constant rate.
package measure
