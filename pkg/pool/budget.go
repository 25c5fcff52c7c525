package pool

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Retry budget of a client for one service.
const (
	retryShare       = 0.1             // repeats per first try
	retryFloor       = 0.1             // repeats per second while the pool is not failing; with 44 VMs this adds up
	retryMemory      = 5 * time.Second // the budget holds at most the share of this time's first tries
	poolFailingShare = 0.5             // share of failed attempts above which repeats cannot help
	poolFailingLeast = 5               // attempts before the pool can count as failing
)

// budget is a token bucket of repeats.
type budget struct {
	tokens float64
	firsts decayed // first tries
	tries  decayed
	fails  decayed
	last   fleet.Time
	told   fleet.Time
}

// decayed is an exponentially decaying count.
type decayed struct {
	v  float64
	at fleet.Time
}

func (d *decayed) add(now fleet.Time, tau time.Duration, x float64) {
	d.v = d.get(now, tau) + x
	d.at = now
}

func (d *decayed) get(now fleet.Time, tau time.Duration) float64 {
	if d.v == 0 || now <= d.at {
		return d.v
	}
	return d.v * math.Exp(-float64(now.Sub(d.at))/float64(tau))
}

func (b *budget) first(now fleet.Time) {
	b.firsts.add(now, retryMemory, 1)
	b.tokens = min(b.tokens+retryShare, b.limit(now))
}

func (b *budget) limit(now fleet.Time) float64 {
	return max(1, retryShare*b.firsts.get(now, retryMemory))
}

// ended counts the end of an attempt.
func (b *budget) ended(now fleet.Time, failed bool) {
	b.tries.add(now, retryMemory, 1)
	if failed {
		b.fails.add(now, retryMemory, 1)
	}
}

func (b *budget) failing(now fleet.Time) bool {
	n := b.tries.get(now, retryMemory)
	return n >= poolFailingLeast && b.fails.get(now, retryMemory) > poolFailingShare*n
}

// take uses up one repeat if there is one.
func (b *budget) take(now fleet.Time) bool {
	if b.failing(now) {
		b.last = now
		return false
	}
	if b.last > 0 {
		b.tokens = min(b.tokens+retryFloor*now.Sub(b.last).Seconds(), b.limit(now))
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MayRetry takes one repeat from the service's budget if there is one.
func (p *Pools) MayRetry(now fleet.Time, service fleet.Service) bool {
	p.enter(now)
	b := p.budget(service)
	if b.take(now) {
		return true
	}
	if b.told == 0 || now.Sub(b.told) > eventSpacing {
		b.told = now
		p.event(EventBudget, fleet.PoolID{Service: service}, "", "retry budget is spent", map[string]string{
			"tokens":      strconv.FormatFloat(b.tokens, 'f', 2, 64),
			"pool_failed": strconv.FormatBool(b.failing(now)),
		})
	}
	return false
}

func (p *Pools) budget(service fleet.Service) *budget {
	b := p.budgets[service]
	if b == nil {
		b = &budget{tokens: 1}
		p.budgets[service] = b
	}
	return b
}
