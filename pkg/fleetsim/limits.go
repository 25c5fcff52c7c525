package fleetsim

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// Limits describes servers that name a rate limit in their responses for a part of the scenario, and the bound
// that the requests which reach such a server must keep.
type Limits struct {
	Share  float64           `json:"share"`          // fraction of the servers
	Rate   float64           `json:"rate"`           // mean limit in requests per second; single servers have 0.4 to 1.6 times as much
	Late   document.Duration `json:"late,omitempty"` // the servers begin one after the other, over this time
	From   document.Duration `json:"from"`
	To     document.Duration `json:"to"`
	Grace  document.Duration `json:"grace"` // the bound holds from this long after From
	Window document.Duration `json:"window"`
	Ratio  float64           `json:"ratio"` // in each window, a server may get Ratio times its limit and Slack requests
	Slack  float64           `json:"slack"`
}

func (l *Limits) check() error {
	if l.Share < 0 || l.Share > 1 || l.Rate <= 0 || l.To <= l.From || l.Window <= 0 {
		return errors.NotValidf("limits: a share up to 1, a rate, from before to, and a window")
	}
	return nil
}

// limitedServer is the limit of a server and the arrivals while it holds.
type limitedServer struct {
	rate     float64
	from, to fleet.Time
	arrivals []fleet.Time
}

// drawLimits selects the servers that name a limit.
func (sim *simulation) drawLimits() {
	l := sim.scenario.Limits
	if l == nil {
		return
	}
	n := int(math.Ceil(l.Share * float64(len(sim.servers))))
	for _, i := range sim.rand.Perm(len(sim.servers))[:n] {
		from := time.Duration(l.From) + time.Duration(sim.rand.Float64()*float64(l.Late))
		sim.servers[i].limit = &limitedServer{
			rate: l.Rate * (0.4 + 1.2*sim.rand.Float64()), from: fleet.Time(from), to: fleet.Time(l.To),
		}
	}
}

// recordArrival records a request that reaches a server with a limit.
func (s *server) recordArrival(now fleet.Time) {
	if s.limit != nil && now >= s.limit.from && now < s.limit.to {
		s.limit.arrivals = append(s.limit.arrivals, now)
	}
}

// notice returns what the server says about itself in a response.
func (s *server) notice(now fleet.Time) pool.ServerNotice {
	if s.limit == nil || now < s.limit.from || now >= s.limit.to {
		return pool.ServerNotice{}
	}
	return pool.ServerNotice{HasRateLimit: true, RateLimit: s.limit.rate}
}

// overLimit returns by how many requests the worst window of any server exceeds the bound.
func (sim *simulation) overLimit() float64 {
	l := sim.scenario.Limits
	if l == nil {
		return 0
	}
	worst := -l.Slack
	for _, s := range sim.servers {
		if s.limit == nil {
			continue
		}
		window := time.Duration(l.Window)
		allowed := l.Ratio*s.limit.rate*window.Seconds() + l.Slack
		for _, at := range s.limit.arrivals {
			if at >= s.limit.from.Add(time.Duration(l.Grace)) {
				worst = max(worst, float64(countBetween(s.limit.arrivals, at, at.Add(window)))-allowed)
			}
		}
	}
	return worst
}

// limitUse returns the requests that reached servers with a limit over what their limits allowed.
func (sim *simulation) limitUse() float64 {
	arrivals, allowed := 0, 0.0
	for _, s := range sim.servers {
		if s.limit != nil {
			arrivals += len(s.limit.arrivals)
			allowed += s.limit.rate * s.limit.to.Sub(s.limit.from).Seconds()
		}
	}
	return float64(arrivals) / max(allowed, 1)
}
