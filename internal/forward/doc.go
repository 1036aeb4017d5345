// Package forward carries a client's request to a backend server and the answer
// back, in fleets whose servers answer for themselves what they ran.
//
// What the client is told follows from what surely happened:
//
//   - Until a byte may have left for a server, the request has not run.
//   - After it, only the server's own statement can say that it has not run.
//   - A success is passed on only if it names the request, bears the server's
//     signature and is whole.
//   - A request is sent again only if it surely did not run or is idempotent,
//     within the route's attempts, its deadline and the fleet's retry budget.
//
// Streams are passed on event by event. A stream that broke off goes on at
// another server after the last event that was passed on, if the route allows;
// else the client's connection is cut, so that it does not look complete.
//
// The package knows no wire names: a Protocol translates headers.
package forward
