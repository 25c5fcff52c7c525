package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/netutil"
)

// transports holds an http.Transport for each server in use.
type transports struct {
	limits  Limits
	region  fleet.Region
	metrics *proxyMetrics
	now     func() fleet.Time

	mu        sync.Mutex
	byServer  map[fleet.ServerID]*serverTransport
	lastSweep fleet.Time
}

type serverTransport struct {
	addr     string
	rt       *http.Transport
	lastUsed fleet.Time
	refs     int
}

func newTransports(l Limits, region fleet.Region, m *proxyMetrics, now func() fleet.Time) *transports {
	return &transports{limits: l, region: region, metrics: m, now: now, byServer: map[fleet.ServerID]*serverTransport{}}
}

// get returns the server's transport and a function that releases it.
func (t *transports) get(s fleet.Server) (*http.Transport, func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.evictUnused(now)
	entry := t.byServer[s.ID]
	if entry == nil || entry.addr != s.Addr {
		if entry != nil {
			entry.rt.CloseIdleConnections()
		}
		entry = &serverTransport{addr: s.Addr, rt: t.build(s)}
		t.byServer[s.ID] = entry
	}
	entry.lastUsed = now
	entry.refs++
	return entry.rt, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		entry.refs--
		if t.byServer[s.ID] != entry && entry.refs == 0 {
			entry.rt.CloseIdleConnections()
		}
	}
}

// evictUnused removes the transports of servers that were unused for Limits.UnusedTransportTTL, so that the map
// does not grow as servers come and go. It runs at most once a second.
func (t *transports) evictUnused(now fleet.Time) {
	if now.Sub(t.lastSweep) < time.Second {
		return
	}
	t.lastSweep = now
	for id, entry := range t.byServer {
		if entry.refs == 0 && now.Sub(entry.lastUsed) > t.limits.UnusedTransportTTL {
			entry.rt.CloseIdleConnections()
			delete(t.byServer, id)
		}
	}
}

func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range t.byServer {
		entry.rt.CloseIdleConnections()
	}
}

func (t *transports) build(s fleet.Server) *http.Transport {
	count := func(int) {}
	if t.region != "" && s.Region != t.region {
		c := t.metrics.regionBytes(s.Region)
		count = func(n int) { c.Add(n) }
	}
	conns := t.metrics.conns(s.Service)
	hooks := connHooks{bytes: count, closed: conns.Dec, unresponsive: t.metrics.unresponsiveConns.Inc}
	dialer := netutil.NewDialer(t.limits.ConnectTimeout, t.limits.SendTimeout > 0)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, s.Addr)
			if err != nil {
				return nil, err
			}
			tcp, ok := c.(*net.TCPConn)
			if !ok {
				c.Close()
				return nil, errors.Errorf("connection to %s is not TCP", s.Addr)
			}
			conns.Inc()
			return newServerConn(tcp, t.limits.SendTimeout, hooks)
		},
		Protocols:              &protocols,
		DisableCompression:     true, // responses are forwarded unchanged
		MaxConnsPerHost:        t.limits.MaxConnsPerServer,
		MaxIdleConnsPerHost:    t.limits.MaxConnsPerServer,
		IdleConnTimeout:        t.limits.ServerIdleTimeout,
		MaxResponseHeaderBytes: int64(2 * t.limits.MaxHeaderBytes),
		WriteBufferSize:        16 << 10,
		ReadBufferSize:         16 << 10,
	}
}
