package telemetry

import (
	"net"

	"github.com/hashicorp/go-hclog"
)

// ListenAdmin takes the admin address, or returns nil if it is not to be had: a
// process serves without its metrics rather than not at all.
func ListenAdmin(address string, log hclog.Logger) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Error("admin address cannot be listened on; metrics are not served", "address", address, "error", err)
		return nil
	}
	return l
}
