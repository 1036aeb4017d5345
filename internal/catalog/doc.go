// Package catalog is the configuration of a fleet that takes whole sets ordered
// by version: routes by host and path, services with their engines' figures,
// workspaces with their keys, and limits towards clients.
//
// A Set is checked as a whole before it is accepted, and is immutable after New,
// so that traffic reads it without locks. The package knows no wire format: an
// adapter decodes the operators' documents into these types.
package catalog
