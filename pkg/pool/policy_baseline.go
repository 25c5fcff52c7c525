package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Parameters of local ejection, as in common proxies.
const (
	localErrorLimit   = 5  // consecutive errors before an ejection
	localMaxPercent   = 10 // percent of the pool that may be ejected at the same time
	localBaseDuration = 30 * time.Second
)

// pickBaseline selects a server by a policy without coordination.
func (c *client) pickBaseline(now fleet.Time, w *Work) (int32, bool, bool) {
	usable := func(r *row) bool { return r.acceptsWork(now) && !excluded(r, w) }
	switch c.p.cfg.Policy {
	case PolicyLeastOutstanding:
		return c.pickLeastLoaded(usable)
	case PolicyLocalEjection:
		return c.pickRoundRobin(func(r *row) bool { return usable(r) && now >= r.client.localEjectedUntil }, usable)
	default:
		return c.pickRoundRobin(usable)
	}
}

// pickRoundRobin returns the next row that passes the first test. If no row passes a test,
// it tries the following one.
func (c *client) pickRoundRobin(tests ...func(*row) bool) (int32, bool, bool) {
	n := len(c.pool.sortedRows)
	for _, test := range tests {
		for range n {
			c.nextRow = (c.nextRow + 1) % n
			if i := c.pool.sortedRows[c.nextRow]; test(&c.pool.rows[i]) {
				return i, false, true
			}
		}
	}
	return -1, false, false
}

// applyLocalEjection counts consecutive errors and ejects servers on this VM only, up to
// localMaxPercent of the pool.
func (c *client) applyLocalEjection(now fleet.Time, r *row, state EndState) {
	switch state {
	case EndOK:
		r.client.consecutiveErrors = 0
	case EndFailed, EndUnreachable, EndTimeout:
		r.client.consecutiveErrors++
	}
	if r.client.consecutiveErrors < localErrorLimit || now < r.client.localEjectedUntil {
		return
	}
	ejected := 1
	for _, i := range c.pool.sortedRows {
		if now < c.pool.rows[i].client.localEjectedUntil {
			ejected++
		}
	}
	if ejected*100 > localMaxPercent*len(c.pool.sortedRows) && ejected > 1 {
		return
	}
	r.client.localEjections++
	r.client.consecutiveErrors = 0
	r.client.localEjectedUntil = now.Add(localBaseDuration * time.Duration(r.client.localEjections))
	c.p.event(EventEjected, c.pool.id, r.server.ID, "consecutive errors seen by this VM", nil)
}
