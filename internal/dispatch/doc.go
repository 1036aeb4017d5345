// Package dispatch carries one caller's request to one backend server and the
// answer back.
//
// A request is mapped to a declared route, then each attempt gets a permit for
// a place at a server, sends the request, and matches the answer by attempt id.
// What the caller is told about the run follows from what surely happened:
//
//   - Until the first byte may have left, the request has not run.
//   - After it, only the server's own word can say that it has not run.
//   - An answer is the caller's only if it names this attempt and is whole.
//
// A request is tried again in one place only (Dispatcher.run), when the last
// attempt surely did not run or the route is repeatable, nothing was sent to the
// caller, and the router's retry budget allows it.
//
// Routes that may not be repeated are claimed before the first byte goes; see
// once.go. Streams are passed on unbuffered and continued from the server at the
// exact offset when the connection is cut; see stream.go.
//
// Limits: HTTP/1.1 only. An answer without a length that ends by closing the
// connection cannot be known to be whole and counts as broken.
package dispatch
