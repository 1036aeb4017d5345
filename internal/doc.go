// Package internal holds the slices of the fleet, one package per duty.
package internal
