package quota

import (
	"math"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// A source that is not heard for this time counts as lost: its part of the quotas is left to it. The times exceed the
// largest interval of its reports, so that a lost report alone is not taken for a lost VM.
const (
	vmTimeout   = 700 * time.Millisecond
	zoneTimeout = 500 * time.Millisecond
)

// source is a VM of this zone or another zone, whose reports are applied.
type source struct {
	heard   fleet.Time
	timeout time.Duration
}

func (s *source) lost(now fleet.Time) bool { return now.Sub(s.heard) > s.timeout }

// flow is the rate at which one source receives requests for a workspace.
type flow struct {
	asked float64       // requests per second at the time at
	at    fleet.Time    // end of the last period
	holds time.Duration // the rate holds for this time after at, until the next report is due
}

// decay returns the factor from the rates at f.at to those at a later time, up to which the source was heard.
func (f *flow) decay(heard fleet.Time) float64 {
	idle := heard.Sub(f.at.Add(f.holds))
	if idle <= 0 {
		return 1
	}
	return math.Exp(-idle.Seconds() / demandTime.Seconds())
}

// askedAt returns the rate of requests at a time up to which the source was heard.
func (f *flow) askedAt(heard fleet.Time) float64 { return f.asked * f.decay(heard) }

func (f *flow) advance(now fleet.Time) {
	f.asked, f.at, f.holds = f.askedAt(now), now, 0
}

// ask counts a request of this VM.
func (f *flow) ask(now fleet.Time) {
	f.advance(now)
	f.asked += 1 / demandTime.Seconds()
}

// apply averages the rate with what a source reports for a period that ends now. If this VM listens only since a short
// time, the rate is the average over that time.
func (f *flow) apply(now fleet.Time, u Use, listening time.Duration) {
	period := time.Duration(u.PeriodMS) * time.Millisecond
	weight := 1 - math.Exp(-period.Seconds()/demandTime.Seconds())
	if listening > 0 {
		weight = max(weight, min(1, period.Seconds()/listening.Seconds()))
	}
	f.advance(now.Add(-period))
	f.asked += (float64(u.Asked)/period.Seconds() - f.asked) * weight
	f.at, f.holds = now, period
}
