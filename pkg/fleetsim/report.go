package fleetsim

import (
	"math"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Report summarizes the outcomes of a scenario's requests.
type Report struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`

	Requests int `json:"requests"`
	InTime   int `json:"in_time"`  // served within the objective
	Late     int `json:"late"`     // served after the objective
	Unserved int `json:"unserved"` // failed, refused, interrupted by a restart, or unfinished at the end
	Refused  int `json:"refused"`  // requests and retries for which the balancer chose no server
	NoVM     int `json:"no_vm"`    // sent to a VM that was down
	Retries  int `json:"repeats"`
	Trials   int `json:"trials"`

	// OverBudget is by how many retries the fleet exceeded its budget in the worst
	// window. It is at most 0 if the budget was kept.
	OverBudget float64 `json:"over_budget"`

	// OverLimit is by how many requests the worst window of any server exceeded the scenario's bound on requests
	// at servers with a rate limit. It is at most 0 if the bound was kept. LimitUse is the requests at
	// these servers over what their limits allow.
	OverLimit float64 `json:"over_limit"`
	LimitUse  float64 `json:"limit_use"`

	Ratios Ratios `json:"ratios"`

	offeredWeight, inTimeWeight float64
	zoneKB, regionKB            float64
	requestTimes, retryTimes    []fleet.Time
}

// Ratios are a report's counts divided by its number of requests, and its payload rates.
type Ratios struct {
	InTime            float64 `json:"in_time"` // weighted by Route.Weight
	Late              float64 `json:"late"`
	Unserved          float64 `json:"unserved"`
	Retries           float64 `json:"repeats"`
	ZoneKBPerSecond   float64 `json:"zone_kb_s"`   // payload between zones of a region
	RegionKBPerSecond float64 `json:"region_kb_s"` // payload between regions
}

// Add adds o to r, for a later call of Mean.
func (r *Ratios) Add(o Ratios) {
	r.InTime += o.InTime
	r.Late += o.Late
	r.Unserved += o.Unserved
	r.Retries += o.Retries
	r.ZoneKBPerSecond += o.ZoneKBPerSecond
	r.RegionKBPerSecond += o.RegionKBPerSecond
}

// Mean returns the mean of n ratios whose sum is r.
func (r Ratios) Mean(n int) Ratios {
	f := 1 / float64(n)
	return Ratios{r.InTime * f, r.Late * f, r.Unserved * f, r.Retries * f, r.ZoneKBPerSecond * f, r.RegionKBPerSecond * f}
}

func (r *Report) addRequest(now fleet.Time, route *Route) {
	r.Requests++
	r.requestTimes = append(r.requestTimes, now)
	r.offeredWeight += route.Weight
}

func (sim *simulation) countServed(q *request) {
	if sim.now.Sub(q.startedAt) <= time.Duration(q.route.LatencyObjective) {
		sim.report.InTime++
		sim.report.inTimeWeight += q.route.Weight
		return
	}
	sim.report.Late++
}

func (sim *simulation) countBytes(from, to *Zone, r *Route) {
	switch {
	case from == to:
	case from.Region == to.Region:
		sim.report.zoneKB += r.KB
	default:
		sim.report.regionKB += r.KB
	}
}

// overBudget returns by how many retries the worst window exceeds the budget.
func (r *Report) overBudget(b Budget) float64 {
	worst := math.Inf(-1)
	for first := range r.retryTimes {
		end := r.retryTimes[first].Add(time.Duration(b.Window))
		retries := countBetween(r.retryTimes, r.retryTimes[first], end)
		requests := countBetween(r.requestTimes, r.retryTimes[first], end)
		worst = max(worst, float64(retries)-b.Ratio*float64(requests)-b.Slack)
	}
	if len(r.retryTimes) == 0 {
		return -b.Slack
	}
	return worst
}

// countBetween returns how many of the sorted times are in [from, to).
func countBetween(times []fleet.Time, from, to fleet.Time) int {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, to)
	return last - first
}

// finish computes the ratios. Requests that were not served by the end count as unserved.
func (r *Report) finish(d time.Duration, b Budget) {
	r.OverBudget = r.overBudget(b)
	r.Unserved = r.Requests - r.InTime - r.Late
	n := max(float64(r.Requests), 1)
	r.Ratios = Ratios{
		InTime: r.inTimeWeight / max(r.offeredWeight, 1), Late: float64(r.Late) / n, Unserved: float64(r.Unserved) / n, Retries: float64(r.Retries) / n,
		ZoneKBPerSecond: r.zoneKB / d.Seconds(), RegionKBPerSecond: r.regionKB / d.Seconds(),
	}
}
