// Package settings reads the YAML settings of one process and holds the parts
// that all processes share.
//
// Reading is strict: an unknown field, a value of the wrong type and a duration
// without a unit are faults, and all faults of a file are reported at once with
// file, line and field. Anchors and aliases are refused, so the size of a file
// bounds the work of reading it.
package settings
