package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Parameters of the choice between regions.
const (
	// remoteRoundTrip is the round-trip time to another region (12 ms each way).
	remoteRoundTrip = 24 * time.Millisecond
	// maxRemoteUsage is the percentage of used slots from which a remote pool gets no work.
	maxRemoteUsage = 70
	// remoteUsageTTL is how long the last reported usage of a remote pool is valid.
	remoteUsageTTL = 2 * time.Second
)

// choosePool returns the pool for a piece of work: that of this VM's region while the
// expected wait is at most remoteRoundTrip, else the least used pool of another region.
func (p *Pools) choosePool(now fleet.Time, service fleet.Service) *pool {
	own := p.pools[fleet.PoolID{Service: service, Region: p.cfg.Region}]
	if own != nil && own.usable(now) && own.client.expectedWait(now) <= remoteRoundTrip {
		return own
	}
	var best *pool
	for _, pl := range p.poolList {
		if pl.id.Service != service || pl == own || !pl.usable(now) {
			continue
		}
		c := &pl.client
		if own != nil && own.usable(now) {
			if c.lastState == 0 || now.Sub(c.lastState) > remoteUsageTTL {
				c.queryUsage = true // its usage must be known before work is sent there
				continue
			}
			if c.usedPct >= maxRemoteUsage || c.expectedWait(now) > remoteRoundTrip {
				continue
			}
		}
		if best == nil || c.usedPct < best.client.usedPct {
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
	for _, i := range pl.sortedRows {
		if pl.rows[i].acceptsWork(now) {
			return true
		}
	}
	return false
}

// expectedWait estimates the wait of new work as the time that the head of the queue has
// waited.
func (c *client) expectedWait(now fleet.Time) time.Duration {
	if c.queue.n == 0 {
		return 0
	}
	if t := c.queue.oldestQueuedAt(); t > 0 {
		return now.Sub(t)
	}
	return 0
}
