package balance

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Shares of the fleet's repeat budget that one VM uses. They leave room for the
// part that a VM spent before it was replaced.
const (
	ratioShare = 0.95
	slackShare = 0.75
)

// budgetSteps is the number of steps of a sliding window.
const budgetSteps = 20

// repeats counts a service's requests and repeats of this VM over the window.
type repeats struct {
	requests, spent [budgetSteps]float64
	step            int64
}

func (r *repeats) advance(now fleet.Time, window time.Duration) int {
	step := int64(now) / (int64(window) / budgetSteps)
	for r.step < step {
		if step-r.step > budgetSteps {
			r.step = step - budgetSteps
		}
		r.step++
		r.requests[r.step%budgetSteps], r.spent[r.step%budgetSteps] = 0, 0
	}
	return int(r.step % budgetSteps)
}

func (r *repeats) request(now fleet.Time, b Budget) { r.requests[r.advance(now, b.Window)]++ }

// left returns how many repeats are allowed now, by a VM that is one of vms.
func (r *repeats) left(now fleet.Time, b Budget, vms int) float64 {
	r.advance(now, b.Window)
	requests, spent := 0.0, 0.0
	for i := range budgetSteps {
		requests += r.requests[i]
		spent += r.spent[i]
	}
	allowed := ratioShare * b.Ratio * requests
	// A VM that has just started does not know what it spent before.
	if time.Duration(now) > b.Window {
		allowed += slackShare * b.Slack / float64(max(vms, 1))
	}
	return allowed - spent
}

// take takes one repeat if the budget has one.
func (r *repeats) take(now fleet.Time, b Budget, vms int) bool {
	if r.left(now, b, vms) < 1 {
		return false
	}
	r.spent[r.advance(now, b.Window)]++
	return true
}
