// Package forward forwards client requests to backend servers and relays the
// responses, in fleets whose backend servers state themselves whether they ran a
// request.
//
// The status that a client receives states no more than is known for certain:
//
//   - Until a byte may have been sent to a backend server, the request has not run.
//   - From then on, only the backend server's own statement proves that the request
//     has not run.
//   - A successful response is relayed only if it names the request, carries the
//     backend server's signature and is complete.
//   - A request is retried only if it certainly did not run or is idempotent, and
//     only within the route's maximum number of attempts, the request's deadline
//     and the fleet's retry budget.
//
// Streams are relayed event by event. If a stream breaks and the route allows
// resumption, it is resumed at another backend server after the last event that
// was relayed. Otherwise the client's connection is aborted, so that the stream
// does not look complete.
//
// The package contains no header names, except those of HTTP itself; a Protocol
// translates the rest.
package forward
