// Package settings reads the YAML settings of a process and defines the settings
// that all processes share.
//
// Reading is strict: an unknown field, a value of the wrong type, or a duration
// without a unit is a fault, and all faults of a file are reported together with
// file, line and field. Anchors and aliases are rejected, so the time to read a
// file is bounded by its size.
package settings
