// Package netutil configures TCP connections to detect unresponsive peers.
package netutil

import (
	"net"
	"time"
)

// Keep-alive settings of watched connections. The probes detect a peer that becomes unresponsive while nothing that was
// sent to it waits for an acknowledgement.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second // the system counts whole seconds
	keepAliveCount    = 1
)

// defaultKeepAliveInterval is the keep-alive interval of other connections.
const defaultKeepAliveInterval = 15 * time.Second

// NewDialer returns a dialer. Its connections fail if they are watched and the peer does not answer a keep-alive
// probe.
func NewDialer(connectTimeout time.Duration, watched bool) *net.Dialer {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: defaultKeepAliveInterval}
	if watched {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	}
	return d
}
