// Package memory limits the memory that many requests use together. A Budget counts what is
// reserved before it is used; ReadAll reads a body within a reservation that grows with it.
package memory
