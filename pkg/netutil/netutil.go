// Package netutil configures TCP connections to detect unresponsive peers.
package netutil

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive settings of connections with a send timeout. The probes detect a peer that
// becomes unresponsive while the connection is idle.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// defaultKeepAliveInterval is the keep-alive interval of connections without a send
// timeout.
const defaultKeepAliveInterval = 15 * time.Second

// NewDialer returns a dialer whose connections fail if sent data is not acknowledged within
// sendTimeout. If sendTimeout is zero, the operating system's default applies.
func NewDialer(connectTimeout, sendTimeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: defaultKeepAliveInterval}
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
