package pool

import "github.com/fulmarbeam/fulmarbeam/pkg/fleet"

// useStaticShare grants the client its static share of slots without a coordinator. It is
// the fallback of a VM that reaches neither owner nor copy, and the only source of credits
// under PolicyStatic.
func (c *client) useStaticShare(now fleet.Time) {
	for _, i := range c.held {
		c.pool.rows[i].client.granted, c.pool.rows[i].client.grantedLong = 0, 0
	}
	c.pool.eachStaticSlot(c.p.cfg.Self.VM, func(i int32) {
		r := &c.pool.rows[i]
		if r.acceptsWork(now) && now >= r.client.ejectedUntil {
			c.addHeld(i)
			r.client.granted++
			r.client.grantedLong++
		}
	})
	c.compactHeld()
}
