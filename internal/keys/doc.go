// Package keys gives processes and operators their identity: mutual TLS from
// the standard library under the fleet's own certificate authority.
//
// A certificate names its holder by one URI, kq://ROLE/NAME, with the role
// router, control or operator. Peers are known by IP number and no name is
// looked up, so a client checks the authority and the role rather than a host
// name. Certificate files are read again when they change, without a restart.
package keys
