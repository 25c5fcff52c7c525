package pool

import "github.com/fulmarbeam/fulmarbeam/pkg/fleet"

// useAllotment grants the client its own share of slots, without a coordinator. It
// is the fallback of a VM that reaches neither owner nor copy, and the whole of the
// static policy.
func (c *client) useAllotment(now fleet.Time) {
	for _, i := range c.held {
		c.pool.rows[i].cl.granted, c.pool.rows[i].cl.grantedLong = 0, 0
	}
	c.pool.allotted(c.p.cfg.Self.VM, func(i int32) {
		r := &c.pool.rows[i]
		if r.open(now) && now >= r.cl.ejected {
			c.hold(i)
			r.cl.granted++
			r.cl.grantedLong++
		}
	})
	c.compact()
}
