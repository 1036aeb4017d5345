// Package version holds the version string of the build.
package version

// Version is set by the linker in builds made with the Makefile. Otherwise it is "dev".
var Version = "dev"
