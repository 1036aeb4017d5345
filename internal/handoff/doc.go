// Package handoff passes a request of a client from a router that reaches no backend server on
// to another router that does.
//
// The router that received the request chooses among the routers that the directory names
// (Peers), sends the whole request and relays the response as it comes (Client). The other
// one handles it like a client's own request: it checks the API key, places the request and
// retries it (Server). It never hands it on to a third router, so a request makes one hop
// at most, and it takes a bounded number of such requests at a time.
//
// A failure says whether a backend server may have run the request. If the connection
// between the routers breaks, it may have.
package handoff
