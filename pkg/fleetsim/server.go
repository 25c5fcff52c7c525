package fleetsim

import (
	"math/rand/v2"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// server is a modelled backend server.
type server struct {
	entry   fleet.Server
	busy    int // occupied slots
	queue   []*attempt
	failing bool
	limit   *limitedServer // nil for a server that names none
}

// attempt is one try of a request at a server.
type attempt struct {
	request *request
	vm      *vm
	id      pool.WorkID
	server  *server
	sent    fleet.Time
	stopAt  fleet.Time // the server stops work on it at this time
	ended   bool       // its VM has recorded an outcome
}

// failureLatency is the time that a failing server takes to answer with an error.
const failureLatency = time.Millisecond

// arrive handles an attempt that has reached its server.
func (sim *simulation) arrive(a *attempt) {
	s := a.server
	s.recordArrival(sim.now)
	switch {
	case s.failing && sim.rand.Float64() < sim.scenario.Failing.FailureRatio:
		sim.schedule(failureLatency, func() { sim.returnOutcome(a, pool.EndFailed) })
	case s.busy < sim.scenario.Slots:
		sim.startWork(a)
	case len(s.queue) < sim.scenario.Queue:
		s.queue = append(s.queue, a)
	default:
		sim.returnOutcome(a, pool.EndShed)
	}
}

// startWork runs an attempt in a free slot.
func (sim *simulation) startWork(a *attempt) {
	a.server.busy++
	took, state := sim.drawWorkTime(a.request.route), pool.EndOK
	if sim.rand.Float64() < sim.scenario.Failing.ErrorRatio {
		state = pool.EndFailed
	}
	if left := a.stopAt.Sub(sim.now); took > left {
		took, state = left, pool.EndTimeout
	}
	sim.schedule(took, func() {
		sim.releaseSlot(a.server)
		sim.returnOutcome(a, state)
	})
}

// releaseSlot frees a slot and starts the next queued attempt that has not expired.
func (sim *simulation) releaseSlot(s *server) {
	s.busy--
	for len(s.queue) > 0 && s.busy < sim.scenario.Slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.stopAt > sim.now && !next.ended {
			sim.startWork(next)
		}
	}
}

// drawWorkTime draws the work time of a request of the route.
func (sim *simulation) drawWorkTime(r *Route) time.Duration {
	d := time.Duration(r.Work)
	if sim.rand.Float64() < r.TailRatio {
		return time.Duration(float64(d) * r.TailFactor)
	}
	return time.Duration(float64(d) * (0.4 + 1.2*sim.rand.Float64()))
}

// scheduleFailureChange schedules the next start or end of a failure episode.
func (sim *simulation) scheduleFailureChange(s *server) {
	f := sim.scenario.Failing
	mean := time.Duration(f.Episode)
	if !s.failing {
		mean = time.Duration(float64(mean) * (1 - f.Share) / f.Share)
	}
	sim.schedule(exponential(sim.rand, mean), func() {
		s.failing = !s.failing
		sim.scheduleFailureChange(s)
	})
}

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}
