//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// link carries the connections that others open to a machine, at the rate of its network link: what
// comes in shares one limit, and what goes out another one.
type link struct {
	listener net.Listener
	target   string
	in, out  *limiter

	mu    sync.Mutex
	conns map[net.Conn]bool
	// cutFrom is the process that is partitioned from the machine, or 0: nothing passes, either way.
	cutFrom int
	// peers holds the process at the other end of each connection.
	peers map[net.Conn]int
}

// limiter lets bytes pass at a rate.
type limiter struct {
	mu        sync.Mutex
	perSecond float64
	freeAt    time.Time
}

// wait returns once n bytes have passed.
func (l *limiter) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.perSecond * float64(time.Second)))
	at := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// linkWindow is the size of the buffers on the way: the links have small windows.
const linkWindow = 64 << 10

func (s *stage) newLink(address, target string, mbps float64) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, in: &limiter{perSecond: mbps * 1e6 / 8}, out: &limiter{perSecond: mbps * 1e6 / 8}, conns: map[net.Conn]bool{}, peers: map[net.Conn]int{}}
	s.onClose(func() {
		_ = listener.Close()
		l.reset()
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l, nil
}

func (l *link) carry(c net.Conn) {
	t, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	for _, conn := range []net.Conn{c, t} {
		_ = conn.(*net.TCPConn).SetReadBuffer(linkWindow)
		_ = conn.(*net.TCPConn).SetWriteBuffer(linkWindow)
	}
	l.mu.Lock()
	l.conns[c], l.conns[t] = true, true
	l.peers[c] = processOf(c.RemoteAddr().(*net.TCPAddr).Port)
	l.mu.Unlock()
	var both sync.WaitGroup
	pass := func(to, from net.Conn, rate *limiter) {
		buf := make([]byte, 8<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				rate.wait(n)
				for l.isCut(c) {
					time.Sleep(10 * time.Millisecond)
				}
				if _, werr := to.Write(buf[:n]); werr != nil {
					err = werr
				}
			}
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			if err != nil {
				_ = to.(*net.TCPConn).SetLinger(0)
				_ = to.Close()
				return
			}
		}
	}
	both.Go(func() { pass(t, c, l.in) })
	both.Go(func() { pass(c, t, l.out) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, t)
	delete(l.peers, c)
	l.mu.Unlock()
	_, _ = c.Close(), t.Close()
}

// reset resets all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// cut partitions a process from the machine, or nothing if pid is 0. What was held up is lost then: its connections are reset.
func (l *link) cut(pid int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pid == 0 {
		for c, peer := range l.peers {
			if peer == l.cutFrom {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		}
	}
	l.cutFrom = pid
}

func (l *link) isCut(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutFrom != 0 && l.peers[c] == l.cutFrom
}

// processOf returns the process with a socket at a local port that is connected, or 0.
func processOf(port int) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	inode := ""
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) && fields[3] == "01" {
			inode = "socket:[" + fields[9] + "]"
			sockets, _ := filepath.Glob("/proc/[0-9]*/fd/*")
			for _, s := range sockets {
				if to, err := os.Readlink(s); err == nil && to == inode {
					pid, _ := strconv.Atoi(strings.Split(s, "/")[2])
					return pid
				}
			}
		}
	}
	return 0
}
