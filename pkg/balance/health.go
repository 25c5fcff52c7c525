package balance

import (
	"math"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Transition rates of the two-state Markov model of a server's health, per second, and the
// stationary probability of failing that follows from them.
const (
	failureRate  = 1.0 / 30 // healthy to failing
	recoveryRate = 1.0 / 10 // failing to healthy
	baselineRisk = failureRate / (failureRate + recoveryRate)

	// The bounds let a few outcomes change an estimate that is near 0 or 1.
	minRisk = 0.002
	maxRisk = 0.98
)

// likelihood is the probability of an outcome given a failing and a healthy server.
type likelihood struct{ failing, healthy float64 }

// likelihoods assumes that healthy servers fail about one request in a hundred and that
// failing servers still serve some requests.
var likelihoods = map[Outcome]likelihood{
	OutcomeOK:          {0.2, 0.985},
	OutcomeFailed:      {0.8, 0.015},
	OutcomeTimeout:     {0.5, 0.02},
	OutcomeLate:        {0.6, 0.06},
	OutcomeShed:        {0.3, 0.1},
	OutcomeUnreachable: {0.5, 0.05},
	OutcomeLeaving:     {1, 1},
}

// healthEstimate is the estimated probability that a server is failing.
type healthEstimate struct {
	risk    float64
	updated fleet.Time
}

// riskAt extrapolates the risk to t. Without new outcomes it decays towards baselineRisk.
func (h healthEstimate) riskAt(t fleet.Time) float64 {
	dt := max(0, t.Sub(h.updated).Seconds())
	return baselineRisk + (h.risk-baselineRisk)*math.Exp(-(failureRate+recoveryRate)*dt)
}

// observe updates the estimate by Bayes' rule with an outcome observed at the given time.
func (h *healthEstimate) observe(at fleet.Time, o Outcome) {
	l, ok := likelihoods[o]
	if !ok {
		return
	}
	at = max(at, h.updated)
	p := h.riskAt(at)
	p = p * l.failing / (p*l.failing + (1-p)*l.healthy)
	h.risk, h.updated = min(max(p, minRisk), maxRisk), at
}

// decayingRatio counts failures and outcomes with exponentially decaying weights.
type decayingRatio struct {
	failed, all float64
	updated     fleet.Time
}

const ratioHalfLife = 1500 * time.Millisecond

func (r *decayingRatio) decay(now fleet.Time) {
	if now > r.updated {
		f := math.Exp2(-now.Sub(r.updated).Seconds() / ratioHalfLife.Seconds())
		r.failed, r.all, r.updated = r.failed*f, r.all*f, now
	}
}

func (r *decayingRatio) add(now fleet.Time, failed bool) {
	r.decay(now)
	r.all++
	if failed {
		r.failed++
	}
}

// Minimum weights of outcomes and of failures for a ratio to be significant.
const (
	minOutcomeWeight = 6
	minFailureWeight = 1.5
)

// ewma is an exponentially weighted moving average of durations. In route.bytes, which averages sizes,
// one second stands for one KB.
type ewma struct {
	mean  float64 // seconds
	count int
}

// ewmaMinWeight is the weight of a new value. The first values weigh 1/n, as in a plain mean.
const ewmaMinWeight = 0.15

func (e *ewma) add(d time.Duration) {
	e.count++
	w := max(ewmaMinWeight, 1/float64(e.count))
	e.mean += w * (d.Seconds() - e.mean)
}
