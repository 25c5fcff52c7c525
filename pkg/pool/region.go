package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Region choice.
const (
	// extraTrip is the cost of going to another region and back (12 ms each way).
	extraTrip = 24 * time.Millisecond
	// remoteBusy is the use of a remote pool, in percent, above which no work is sent there.
	remoteBusy = 70
	// remoteKnown is how long a remote pool's use is believed.
	remoteKnown = 2 * time.Second
)

// choose returns the pool for a piece of work: the own region's while the wait is
// expected to be below the extra trip, else the least used pool of another region.
func (p *Pools) choose(now fleet.Time, service fleet.Service) *pool {
	own := p.pools[fleet.PoolID{Service: service, Region: p.cfg.Region}]
	if own != nil && own.usable(now) && own.client.wait(now) <= extraTrip {
		return own
	}
	var best *pool
	for _, pl := range p.list {
		if pl.id.Service != service || pl == own || !pl.usable(now) {
			continue
		}
		cl := &pl.client
		if own != nil && own.usable(now) {
			if cl.stateAt == 0 || now.Sub(cl.stateAt) > remoteKnown {
				cl.inquire = true // ask for its use before any work goes there
				continue
			}
			if cl.usedPct >= remoteBusy || cl.wait(now) > extraTrip {
				continue
			}
		}
		if best == nil || cl.usedPct < best.client.usedPct {
			best = pl
		}
	}
	if best != nil {
		return best
	}
	return own
}

// usable reports whether the pool has a server that may get work.
func (pl *pool) usable(now fleet.Time) bool {
	for _, i := range pl.order {
		if pl.rows[i].open(now) {
			return true
		}
	}
	return false
}

// wait estimates how long new work would wait: what the head of the queue has waited.
func (c *client) wait(now fleet.Time) time.Duration {
	if c.queue.n == 0 {
		return 0
	}
	if t := c.queue.oldest(); t > 0 {
		return now.Sub(t)
	}
	return 0
}
