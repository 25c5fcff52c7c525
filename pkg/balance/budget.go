package balance

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Shares that a VM may spend of its part of the fleet's retry budget. The rest covers what
// VMs spent before they were replaced.
const (
	ratioShare = 0.95
	slackShare = 0.75
)

// windowBuckets is the number of buckets of a sliding window.
const windowBuckets = 20

// retryWindow counts this VM's requests and retries for a service in a sliding window.
type retryWindow struct {
	requests, retries [windowBuckets]float64
	bucket            int64
}

func (r *retryWindow) advance(now fleet.Time, window time.Duration) int {
	step := int64(now) / (int64(window) / windowBuckets)
	for r.bucket < step {
		if step-r.bucket > windowBuckets {
			r.bucket = step - windowBuckets
		}
		r.bucket++
		r.requests[r.bucket%windowBuckets], r.retries[r.bucket%windowBuckets] = 0, 0
	}
	return int(r.bucket % windowBuckets)
}

func (r *retryWindow) addRequest(now fleet.Time, b RetryBudget) {
	r.requests[r.advance(now, b.Window)]++
}

// remaining returns how many retries this VM may make now if vms VMs share the budget.
func (r *retryWindow) remaining(now fleet.Time, b RetryBudget, vms int) float64 {
	r.advance(now, b.Window)
	requests, spent := 0.0, 0.0
	for i := range windowBuckets {
		requests += r.requests[i]
		spent += r.retries[i]
	}
	allowed := ratioShare * b.Ratio * requests
	// A restarted VM has no record of what it spent in the window before the restart.
	if time.Duration(now) > b.Window {
		allowed += slackShare * b.Slack / float64(max(vms, 1))
	}
	return allowed - spent
}

// take spends one retry if the budget allows it.
func (r *retryWindow) take(now fleet.Time, b RetryBudget, vms int) bool {
	if r.remaining(now, b, vms) < 1 {
		return false
	}
	r.retries[r.advance(now, b.Window)]++
	return true
}
