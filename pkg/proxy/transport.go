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

// transports holds one http.Transport for each server in use.
type transports struct {
	limits Limits
	region fleet.Region
	meters *meters
	now    func() fleet.Time

	mu    sync.Mutex
	rows  map[fleet.ServerID]*transportRow
	swept fleet.Time
}

type transportRow struct {
	addr  string
	rt    *http.Transport
	used  fleet.Time
	users int
}

func newTransports(l Limits, region fleet.Region, m *meters, now func() fleet.Time) *transports {
	return &transports{limits: l, region: region, meters: m, now: now, rows: map[fleet.ServerID]*transportRow{}}
}

// get returns the server's transport and a function that ends its use.
func (t *transports) get(s fleet.Server) (*http.Transport, func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.sweep(now)
	row := t.rows[s.ID]
	if row == nil || row.addr != s.Addr {
		if row != nil {
			row.rt.CloseIdleConnections()
		}
		row = &transportRow{addr: s.Addr, rt: t.build(s)}
		t.rows[s.ID] = row
	}
	row.used = now
	row.users++
	return row.rt, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		row.users--
		if t.rows[s.ID] != row && row.users == 0 {
			row.rt.CloseIdleConnections()
		}
	}
}

// sweep drops transports of servers that were not used for a while, at most once a
// second, so that the table follows the servers that come and go.
func (t *transports) sweep(now fleet.Time) {
	if now.Sub(t.swept) < time.Second {
		return
	}
	t.swept = now
	for id, row := range t.rows {
		if row.users == 0 && now.Sub(row.used) > t.limits.ServerIdle {
			row.rt.CloseIdleConnections()
			delete(t.rows, id)
		}
	}
}

func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range t.rows {
		row.rt.CloseIdleConnections()
	}
}

func (t *transports) build(s fleet.Server) *http.Transport {
	count := func(int) {}
	if t.region != "" && s.Region != t.region {
		c := t.meters.regionBytes(s.Region)
		count = func(n int) { c.Add(n) }
	}
	conns := t.meters.conns(s.Service)
	dialer := netutil.Dialer(t.limits.ConnectTime, t.limits.SendTimeout)
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
			return newServerConn(tcp, count, conns.Dec)
		},
		Protocols:              &protocols,
		DisableCompression:     true, // answers pass unchanged
		MaxConnsPerHost:        t.limits.ConnsPerServer,
		MaxIdleConnsPerHost:    t.limits.ConnsPerServer,
		IdleConnTimeout:        t.limits.ServerKeepAlive,
		MaxResponseHeaderBytes: int64(2 * t.limits.HeaderBytes),
		WriteBufferSize:        16 << 10,
		ReadBufferSize:         16 << 10,
	}
}
