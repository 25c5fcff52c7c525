package balance

import (
	"math"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Rates of the two-state model of a server's health.
const (
	onsetRate   = 1.0 / 30 // a healthy server starts to fail, per second
	recoverRate = 1.0 / 10 // a failing server recovers, per second
	usual       = onsetRate / (onsetRate + recoverRate)

	// Bounds keep a belief movable by a few outcomes.
	minBelief = 0.002
	maxBelief = 0.98
)

// likelihood is the probability of an outcome at a failing and at a healthy server.
type likelihood struct{ failing, healthy float64 }

// likelihoods of outcomes. Failures of single requests at healthy servers are about
// one in a hundred; failing servers still serve some requests.
var likelihoods = map[Outcome]likelihood{
	OutcomeOK:          {0.2, 0.985},
	OutcomeFailed:      {0.8, 0.015},
	OutcomeTimeout:     {0.5, 0.02},
	OutcomeLate:        {0.6, 0.06},
	OutcomeShed:        {0.3, 0.1},
	OutcomeUnreachable: {0.5, 0.05},
	OutcomeLeaving:     {1, 1},
}

// belief is the probability that a server is failing.
type belief struct {
	p  float64
	at fleet.Time // instant that p is for
}

// now returns the probability at a later instant without new outcomes.
func (b belief) now(t fleet.Time) float64 {
	dt := max(0, t.Sub(b.at).Seconds())
	return usual + (b.p-usual)*math.Exp(-(onsetRate+recoverRate)*dt)
}

// observe moves the belief by an outcome that was seen at the instant at.
func (b *belief) observe(at fleet.Time, o Outcome) {
	l, ok := likelihoods[o]
	if !ok {
		return
	}
	at = max(at, b.at)
	p := b.now(at)
	p = p * l.failing / (p*l.failing + (1-p)*l.healthy)
	b.p, b.at = min(max(p, minBelief), maxBelief), at
}

// ratio is the share of failures among outcomes, in which older ones count less.
type ratio struct {
	failed, all float64
	at          fleet.Time
}

// ratioHalving is the half-life of an outcome's weight.
const ratioHalving = 1500 * time.Millisecond

func (r *ratio) decay(now fleet.Time) {
	if now > r.at {
		f := math.Exp2(-now.Sub(r.at).Seconds() / ratioHalving.Seconds())
		r.failed, r.all, r.at = r.failed*f, r.all*f, now
	}
}

func (r *ratio) add(now fleet.Time, failed bool) {
	r.decay(now)
	r.all++
	if failed {
		r.failed++
	}
}

// Weights of outcomes and of failures from which a ratio says something.
const (
	minOutcomes = 6
	minFailures = 1.5
)

// smooth is an exponentially weighted mean of durations.
type smooth struct {
	mean float64 // seconds
	n    int
}

// smoothing is the weight of a new value.
const smoothing = 0.15

func (s *smooth) add(d time.Duration) {
	s.n++
	w := max(smoothing, 1/float64(s.n))
	s.mean += w * (d.Seconds() - s.mean)
}
