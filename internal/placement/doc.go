// Package placement chooses the backend server for each attempt of a request.
//
// Requests with a prompt prefix go to the first server in the prefix's
// rendezvous order whose load is within a bound of the mean, so that returning
// prompts find the engine that has read them, and all routers agree without
// talking. Other requests go to the server that is expected to answer first.
//
// A server in cold start gets at most this router's share of what it bears, in
// every span of a second. A server at which attempts fail is avoided for a time
// that doubles, and tried again with one request; a pool is never left without
// a server for that reason.
//
// Limits: what other routers have in flight is known with a delay of about half
// a second; a router that is cut off from the directory counts its own only.
package placement
