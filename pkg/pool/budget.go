package pool

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Parameters of the retry budget that a client keeps for each service.
const (
	retryRatio             = 0.1             // retries per first attempt
	minRetryRate           = 0.1             // retries per second and VM while the pool is not failing; 44 VMs add up to 4.4/s
	retryWindow            = 5 * time.Second // the budget holds at most retryRatio of the first attempts in this time
	poolFailingShare       = 0.5             // share of failed attempts above which retries cannot help
	poolFailingMinAttempts = 5               // attempts needed before the pool can count as failing
)

// budget is a token bucket of retries.
type budget struct {
	tokens        float64
	firstAttempts decayed // without retries
	attempts      decayed
	failures      decayed
	lastRefill    fleet.Time
	lastEvent     fleet.Time
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

// countFirst counts a first attempt and adds retryRatio tokens, up to the limit.
func (b *budget) countFirst(now fleet.Time) {
	b.firstAttempts.add(now, retryWindow, 1)
	b.tokens = min(b.tokens+retryRatio, b.limit(now))
}

// limit returns the capacity of the bucket in tokens.
func (b *budget) limit(now fleet.Time) float64 {
	return max(1, retryRatio*b.firstAttempts.get(now, retryWindow))
}

// countEnd counts the end of an attempt.
func (b *budget) countEnd(now fleet.Time, failed bool) {
	b.attempts.add(now, retryWindow, 1)
	if failed {
		b.failures.add(now, retryWindow, 1)
	}
}

// failing reports whether more than poolFailingShare of the recent attempts failed.
func (b *budget) failing(now fleet.Time) bool {
	n := b.attempts.get(now, retryWindow)
	return n >= poolFailingMinAttempts && b.failures.get(now, retryWindow) > poolFailingShare*n
}

// take consumes one token. It returns false if there is none or the pool is failing.
func (b *budget) take(now fleet.Time) bool {
	if b.failing(now) {
		b.lastRefill = now
		return false
	}
	if b.lastRefill > 0 {
		b.tokens = min(b.tokens+minRetryRate*now.Sub(b.lastRefill).Seconds(), b.limit(now))
	}
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MayRetry consumes one retry of the service's budget and reports whether there was one.
func (p *Pools) MayRetry(now fleet.Time, service fleet.Service) bool {
	p.beginCall(now)
	b := p.budget(service)
	if b.take(now) {
		return true
	}
	if b.lastEvent == 0 || now.Sub(b.lastEvent) > eventInterval {
		b.lastEvent = now
		p.event(EventRetryBudgetSpent, fleet.PoolID{Service: service}, "", "retry budget is spent", map[string]string{
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
