// Package placement chooses the backend server for each attempt of a request.
//
// Requests with a prompt prefix go to the first server in the prefix's
// rendezvous order whose load is within a bound of the mean. Repeated prompts
// thus reach an engine that has them in its prompt cache, and all routers agree
// without coordination. Other requests go to the server with the lowest expected
// latency.
//
// A server in cold start gets at most this router's share of its cold-start rate
// in any window of one second. A server whose attempts fail is ejected for a time
// that doubles with each further failure, then probed with a single request.
// Ejection never leaves a pool without a server.
//
// A server that has said in a response that it is leaving, or for how long it wants no
// requests from this router, gets none, also if no other is left. The request is then
// refused with the time until the first server takes requests again. A server that names
// how many requests a second it takes gets them from all routers in equal shares.
//
// Limits: the in-flight counts of other routers arrive with a delay of about half
// a second; a router that is partitioned from the directory counts only its own.
package placement
