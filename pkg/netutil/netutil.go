// Package netutil sets up TCP connections that notice a silent peer.
package netutil

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes of connections with a send timeout. They find a connection that
// went silent while it was idle.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// slowKeepAlive is the pause between probes of connections without a send timeout.
const slowKeepAlive = 15 * time.Second

// Dialer returns a dialer whose connections fail when sent bytes are not
// acknowledged within sendTimeout. Zero leaves this to the system.
func Dialer(connect, sendTimeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: connect, KeepAlive: slowKeepAlive}
	if sendTimeout <= 0 {
		return d
	}
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	d.Control = func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
	return d
}
