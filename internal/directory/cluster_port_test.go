package directory

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"testing"
)

const (
	// reservingHost holds the port of a cluster until the test ends: no process of a cluster uses it.
	reservingHost = "127.0.0.10"
	// firstPort and portCount are the ports of clusters. They are below those that the kernel gives to
	// listeners that name none: processes stop and start, and listen on such ports of the same host.
	firstPort, portCount = 10_000, 20_000
	portAttempts         = 50
)

// reservePort returns a port that is free on all hosts of the test, and that no other cluster uses until
// the test ends.
func reservePort(t *testing.T) string {
	t.Helper()
	for range portAttempts {
		port := strconv.Itoa(firstPort + rand.IntN(portCount))
		reservation, err := net.Listen("tcp", net.JoinHostPort(reservingHost, port))
		if err != nil {
			continue
		}
		if isFree(port) {
			t.Cleanup(func() { _ = reservation.Close() })
			return port
		}
		_ = reservation.Close()
	}
	t.Fatal("no port is free on all hosts")
	return ""
}

func isFree(port string) bool {
	for _, h := range hosts {
		l, err := net.Listen("tcp", net.JoinHostPort(h, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Guards against a process of a cluster that cannot start again, since another test or its own listener
// without a port took the cluster's port: 'address-in-use: listen on 127.0.0.12:33991'.
func TestThePortOfAClusterIsNotGivenToOthers(t *testing.T) {
	c := newCluster(t, 0)
	l, err := net.Listen("tcp", net.JoinHostPort(reservingHost, c.port))
	if err == nil {
		_ = l.Close()
		t.Errorf("another cluster could use port %s", c.port)
	}
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	var port, first, last int
	if _, err := fmt.Sscan(c.port+" "+string(data), &port, &first, &last); err != nil {
		t.Fatal(err)
	}
	if port >= first && port <= last {
		t.Errorf("the kernel may give port %d to any listener: it gives %d to %d", port, first, last)
	}
}
