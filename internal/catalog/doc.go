// Package catalog holds the configuration of a fleet whose operators publish
// complete sets ordered by version: routes by host and path, services with the
// parameters of their engines, workspaces with their keys, and limits on clients.
//
// A Set is validated as a whole before it is accepted and is immutable after New,
// so that requests read it without locks. The package is independent of the wire
// format: an adapter decodes the operators' documents into these types.
package catalog
