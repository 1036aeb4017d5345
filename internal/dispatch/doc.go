// Package dispatch forwards a client's request to one backend server and relays the
// response.
//
// A request is mapped to a declared route. Each attempt then obtains a permit for a
// slot at a server, sends the request, and checks that the response names the
// attempt's id. The outcome that the client receives states no more than is known
// for certain:
//
//   - Until the first byte may have been sent, the request has not run.
//   - From then on, only the server's own statement proves that it has not run.
//   - A response is relayed only if it names this attempt, and counts as the
//     request's outcome only if it is complete.
//
// A request is retried in one place only (exchange.runAttempts): if the last attempt
// certainly did not run or the route is repeatable, nothing has been sent to the
// client, and the router's retry budget allows it.
//
// Requests on routes that may not be repeated are claimed before their first byte is
// sent; see claim.go. Streams are relayed unbuffered, and resumed from the same
// server at the exact offset if the connection breaks; see stream.go.
//
// Limits: HTTP/1.1 only. A response without a length that ends when the connection
// closes cannot be known to be complete, and counts as broken.
package dispatch
