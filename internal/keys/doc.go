// Package keys authenticates processes and operators by mutual TLS (crypto/tls),
// with certificates of the fleet's own certificate authority, and authorises
// their calls by role.
//
// A certificate identifies its subject by one URI, kq://ROLE/NAME, with the role
// router, control or operator. Peers are addressed by IP address and there is no
// name resolution, so a client verifies the certificate chain and the role
// instead of a host name. Certificate files are reloaded when they change,
// without a restart.
package keys
