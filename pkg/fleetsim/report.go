package fleetsim

import (
	"math"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Report says what became of a scenario's requests.
type Report struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`

	Requests int `json:"requests"`
	InTime   int `json:"in_time"`  // served within the objective
	Late     int `json:"late"`     // served later
	Unserved int `json:"unserved"` // failed, refused, or cut by a restart
	Refused  int `json:"refused"`
	NoVM     int `json:"no_vm"` // their VM was down
	Repeats  int `json:"repeats"`
	Trials   int `json:"trials"`

	// OverBudget is how many repeats the fleet made beyond the budget in the worst
	// window; at most 0 keeps it.
	OverBudget float64 `json:"over_budget"`

	Ratios Ratios `json:"ratios"`

	owed, earned     float64
	zoneKB, regionKB float64
	asked, repeated  []fleet.Time
}

// Ratios are a report's counts over its requests.
type Ratios struct {
	InTime    float64 `json:"in_time"` // by weight
	Late      float64 `json:"late"`
	Unserved  float64 `json:"unserved"`
	Repeats   float64 `json:"repeats"`
	ZoneKBs   float64 `json:"zone_kb_s"`   // payload between zones of a region, KB/s
	RegionKBs float64 `json:"region_kb_s"` // payload between regions, KB/s
}

// Add sums ratios up, for Over.
func (r *Ratios) Add(o Ratios) {
	r.InTime += o.InTime
	r.Late += o.Late
	r.Unserved += o.Unserved
	r.Repeats += o.Repeats
	r.ZoneKBs += o.ZoneKBs
	r.RegionKBs += o.RegionKBs
}

// Over returns the mean of n summed ratios.
func (r Ratios) Over(n int) Ratios {
	f := 1 / float64(n)
	return Ratios{r.InTime * f, r.Late * f, r.Unserved * f, r.Repeats * f, r.ZoneKBs * f, r.RegionKBs * f}
}

func (r *Report) owe(now fleet.Time, route *Route) {
	r.Requests++
	r.asked = append(r.asked, now)
	r.owed += route.Weight
}

func (w *world) served(q *request) {
	if w.now.Sub(q.begun) <= time.Duration(q.route.Objective) {
		w.report.InTime++
		w.report.earned += q.route.Weight
		return
	}
	w.report.Late++
}

func (w *world) countBytes(from, to *Zone, r *Route) {
	switch {
	case from == to:
	case from.Region == to.Region:
		w.report.zoneKB += r.KB
	default:
		w.report.regionKB += r.KB
	}
}

// overBudget returns by how much the repeats of the worst window exceed the budget.
func (r *Report) overBudget(b Budget) float64 {
	worst := math.Inf(-1)
	for first := range r.repeated {
		end := r.repeated[first].Add(time.Duration(b.Window))
		repeats := count(r.repeated, r.repeated[first], end)
		requests := count(r.asked, r.repeated[first], end)
		worst = max(worst, float64(repeats)-b.Ratio*float64(requests)-b.Slack)
	}
	if len(r.repeated) == 0 {
		return -b.Slack
	}
	return worst
}

// count returns how many of the sorted instants lie in a window.
func count(at []fleet.Time, from, to fleet.Time) int {
	first, _ := slices.BinarySearch(at, from)
	last, _ := slices.BinarySearch(at, to)
	return last - first
}

// finish computes the ratios. What was not served by the end counts as unserved.
func (r *Report) finish(d time.Duration, b Budget) {
	r.OverBudget = r.overBudget(b)
	r.Unserved = r.Requests - r.InTime - r.Late
	n := max(float64(r.Requests), 1)
	r.Ratios = Ratios{
		InTime: r.earned / max(r.owed, 1), Late: float64(r.Late) / n, Unserved: float64(r.Unserved) / n, Repeats: float64(r.Repeats) / n,
		ZoneKBs: r.zoneKB / d.Seconds(), RegionKBs: r.regionKB / d.Seconds(),
	}
}
