package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout closes a connection whose sent data stays unacknowledged. It
	// allows for several retransmissions between data centres. Linux applies it as well to a
	// peer that acknowledges but does not read, once its receive buffer is full.
	UserTimeout = 1500 * time.Millisecond
	// Keep-alive probes detect a peer that disappeared without closing the
	// connection. The first one is sent KeepAliveIdle after the last data.
	KeepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// NetDialer returns a dialer whose connections fail shortly after the peer has
// disappeared or the network path to it has failed.
func NetDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: KeepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw, UserTimeout) },
	}
}

// SetUserTimeout sets how long sent data may stay unacknowledged, or unread by a peer whose
// receive buffer is full; 0 means as long as the kernel retransmits.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}
