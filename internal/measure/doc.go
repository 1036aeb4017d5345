// Package measure compares ways to place requests on model engines, in virtual
// time and from seeds, so that its tables come out equal on any machine.
//
// A Trace is a generated record of returning chats. A Policy decides where each
// request runs; the engines are small fakes with slots, a prompt cache of limited
// memory and a cold start. The baselines see the fleet as routers do: lists that
// differ for seconds and load reports that lag. The policy "permits" drives the
// real packages admission and routing. The oracle knows every cache and load and
// serves as the upper bound.
//
// Limits: requests arrive at the recorded times whatever the answers, the network
// is a constant delay, and an engine decodes at a constant pace.
package measure
