package telemetry

import (
	"net"

	"github.com/hashicorp/go-hclog"
)

// ListenAdmin listens on the admin address. If that fails, it logs the error and returns
// nil, so that the process can serve without its metrics rather than not at all.
func ListenAdmin(address string, log hclog.Logger) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Error("cannot listen on the admin address; metrics are not served", "address", address, "error", err)
		return nil
	}
	return l
}
