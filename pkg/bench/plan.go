package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// request is a planned request.
type request struct {
	n         int
	route     string
	at        time.Duration // intended start
	work      time.Duration
	straggler bool
	fails     bool   // the server responds 500, see FaultRouteFail
	vmPick    uint64 // selects the VM among those that accept callers, modulo their number
}

// id is unique within a run.
func (r request) id() string { return fmt.Sprintf("req-%07d", r.n) }

// plan generates all requests of a run from the seed.
func (s *Scenario) plan(seed uint64) []request {
	rng := rand.New(rand.NewPCG(seed, 3))
	names, cumulative := s.routeTable()
	var out []request
	end := time.Duration(s.Duration)
	top := s.peakRate()
	if top <= 0 {
		return nil
	}
	// Thinning a Poisson process of the highest rate yields the varying rate of the
	// arrival curve.
	for t := time.Duration(0); ; {
		t += time.Duration(rng.ExpFloat64() / top * float64(time.Second))
		if t >= end {
			return out
		}
		if rng.Float64()*top > s.rateAt(t) {
			continue
		}
		name := names[min(len(names)-1, searchCumulative(cumulative, rng.Float64()*cumulative[len(cumulative)-1]))]
		r := request{n: len(out), route: name, at: t, vmPick: rng.Uint64()}
		r.work, r.straggler = s.Routes[name].Work.draw(rng)
		s.applyRouteFaults(&r)
		out = append(out, r)
	}
}

func (s *Scenario) applyRouteFaults(r *request) {
	for _, f := range s.Faults {
		if !f.span(time.Duration(s.Duration)).contains(r.at) || !slices.Contains(f.Routes, r.route) {
			continue
		}
		switch f.Kind {
		case FaultRouteSlow:
			r.work = time.Duration(float64(r.work) * f.Factor)
		case FaultRouteFail:
			r.fails = true
		}
	}
}

func searchCumulative(cumulativeShares []float64, x float64) int {
	i, _ := slices.BinarySearch(cumulativeShares, x)
	return i
}

// routeTable returns the names and cumulative shares of the routes that have a share of
// the arrivals, sorted by name.
func (s *Scenario) routeTable() (names []string, cumulative []float64) {
	for name, r := range s.Routes {
		if r.Share > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	total := 0.0
	for _, name := range names {
		total += s.Routes[name].Share
		cumulative = append(cumulative, total)
	}
	return names, cumulative
}

// draw returns a random work time and whether it is a straggler's.
func (w Work) draw(rng *rand.Rand) (time.Duration, bool) {
	d := float64(w.Median) * math.Exp(w.Sigma*rng.NormFloat64())
	straggler := rng.Float64() < w.StragglerShare
	if straggler {
		d *= w.StragglerFactor
	}
	return time.Duration(d), straggler
}

// rateAt returns the arrival rate at t in requests per second, interpolated linearly.
func (s *Scenario) rateAt(t time.Duration) float64 {
	points := s.Arrivals
	last := points[len(points)-1]
	if t >= time.Duration(last.At) {
		return s.rate(last)
	}
	for i := range points {
		if t >= time.Duration(points[i].At) {
			continue
		}
		if i == 0 {
			return s.rate(points[0])
		}
		a, b := points[i-1], points[i]
		fraction := float64(t-time.Duration(a.At)) / float64(b.At-a.At)
		return s.rate(a) + fraction*(s.rate(b)-s.rate(a))
	}
	return s.rate(last)
}

func (s *Scenario) rate(p ArrivalPoint) float64 {
	if p.Load > 0 {
		return p.Load * s.capacity()
	}
	return p.Rate
}

func (s *Scenario) peakRate() float64 {
	top := 0.0
	for _, p := range s.Arrivals {
		top = max(top, s.rate(p))
	}
	return top
}

// capacity returns the arrival rate in requests per second at which all slots of the
// most loaded service are in use.
func (s *Scenario) capacity() float64 {
	total := 0.0
	busy := map[fleet.Service]float64{} // mean slot seconds per request
	for _, r := range s.Routes {
		total += r.Share
	}
	for _, r := range s.Routes {
		busy[r.Service] += r.Share / total * r.Work.mean().Seconds()
	}
	least := math.Inf(1)
	for name, p := range s.Services {
		if busy[name] > 0 {
			least = min(least, float64(p.total()*p.Slots)/busy[name])
		}
	}
	return least
}

// withoutLong returns the scenario of the comparison run, without long routes and
// stragglers.
func (s *Scenario) withoutLong() *Scenario {
	out := *s
	out.Routes = map[string]Route{}
	kept, all := 0.0, 0.0
	for name, r := range s.Routes {
		all += r.Share
		if r.Long {
			r.Share = 0
		}
		r.Work.StragglerShare = 0
		kept += r.Share
		out.Routes[name] = r
	}
	if s.Comparison == ComparisonSameArrivals {
		out.Arrivals = nil
		for _, p := range s.Arrivals {
			out.Arrivals = append(out.Arrivals, ArrivalPoint{At: p.At, Rate: s.rate(p) * kept / all})
		}
	}
	out.Comparison = ComparisonNone
	return &out
}
