// Package version holds the build's version string.
package version

// Version is set by the linker; "dev" in builds made without the Makefile.
var Version = "dev"
