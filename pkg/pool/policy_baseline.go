package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Local ejection as common proxies do it.
const (
	localErrors  = 5  // in a row
	localPercent = 10 // of the pool at most
	localBase    = 30 * time.Second
)

// pickBaseline chooses a server by a policy without coordination.
func (c *client) pickBaseline(now fleet.Time, w *Work) (int32, bool, bool) {
	usable := func(r *row) bool { return r.open(now) && !excluded(r, w) }
	switch c.p.cfg.Policy {
	case PolicyLeastOutstanding:
		return c.pickLeast(usable)
	case PolicyLocalEjection:
		return c.pickRound(func(r *row) bool { return usable(r) && now >= r.cl.localEjected }, usable)
	default:
		return c.pickRound(usable)
	}
}

// pickRound returns the next row in turn that passes the first test that any row passes.
func (c *client) pickRound(tests ...func(*row) bool) (int32, bool, bool) {
	n := len(c.pool.order)
	for _, test := range tests {
		for range n {
			c.next = (c.next + 1) % n
			if i := c.pool.order[c.next]; test(&c.pool.rows[i]) {
				return i, false, true
			}
		}
	}
	return -1, false, false
}

// judgeLocal counts errors in a row and ejects within the VM's own bound.
func (c *client) judgeLocal(now fleet.Time, r *row, state EndState) {
	switch state {
	case EndOK:
		r.cl.errorsInRow = 0
	case EndFailed, EndUnreachable, EndTimeout:
		r.cl.errorsInRow++
	}
	if r.cl.errorsInRow < localErrors || now < r.cl.localEjected {
		return
	}
	out := 1
	for _, i := range c.pool.order {
		if now < c.pool.rows[i].cl.localEjected {
			out++
		}
	}
	if out*100 > localPercent*len(c.pool.order) && out > 1 {
		return
	}
	r.cl.localCount++
	r.cl.errorsInRow = 0
	r.cl.localEjected = now.Add(localBase * time.Duration(r.cl.localCount))
	c.p.event(EventEjected, c.pool.id, r.server.ID, "errors in a row seen by this VM", nil)
}
