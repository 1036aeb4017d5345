package inventory

import (
	"cmp"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// ServedVersion is a software version that servers of a service have or had.
type ServedVersion struct{ Service, Version string }

// Compare orders versions by their services.
func (v ServedVersion) Compare(o ServedVersion) int {
	return cmp.Or(cmp.Compare(v.Service, o.Service), cmp.Compare(v.Version, o.Version))
}

// ServedVersion returns the version that the server has, and false if that or its service is unknown.
func (s *Server) ServedVersion() (ServedVersion, bool) {
	return ServedVersion{s.Service, s.Version}, s.Service != "" && s.Version != ""
}

// EncodeServedVersions returns the messages for versions, which are sorted.
func EncodeServedVersions(versions []ServedVersion) (out []*fleetpb.ServedVersions) {
	for _, v := range versions {
		if n := len(out); n == 0 || out[n-1].Service != v.Service {
			out = append(out, &fleetpb.ServedVersions{Service: v.Service})
		}
		last := out[len(out)-1]
		last.Versions = append(last.Versions, v.Version)
	}
	return out
}

// DecodeServedVersions returns the versions of messages.
func DecodeServedVersions(in []*fleetpb.ServedVersions) (out []ServedVersion) {
	for _, s := range in {
		for _, version := range s.Versions {
			out = append(out, ServedVersion{s.Service, version})
		}
	}
	return out
}
