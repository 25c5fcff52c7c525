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
	busy    int
	queue   []*attempt
	failing bool
}

// attempt is a request at a server.
type attempt struct {
	r      *request
	vm     *vm
	id     pool.WorkID
	server *server
	sent   fleet.Time
	limit  fleet.Time // the server stops work then
	ended  bool       // its VM has an outcome
}

// fastFailure is how long a failing server takes for an error.
const fastFailure = time.Millisecond

// arrive takes an attempt that reached the server.
func (w *world) arrive(a *attempt) {
	s := a.server
	switch {
	case s.failing && w.rand.Float64() < w.s.Failing.Fails:
		w.after(fastFailure, func() { w.answer(a, pool.EndFailed) })
	case s.busy < w.s.Slots:
		w.begin(a)
	case len(s.queue) < w.s.Queue:
		s.queue = append(s.queue, a)
	default:
		w.answer(a, pool.EndShed)
	}
}

// begin runs an attempt in a free slot.
func (w *world) begin(a *attempt) {
	a.server.busy++
	took, state := w.work(a.r.route), pool.EndOK
	if w.rand.Float64() < w.s.Failing.Errors {
		state = pool.EndFailed
	}
	if left := a.limit.Sub(w.now); took > left {
		took, state = left, pool.EndTimeout
	}
	w.after(took, func() {
		w.free(a.server)
		w.answer(a, state)
	})
}

// free gives a slot to the next attempt whose time has not passed.
func (w *world) free(s *server) {
	s.busy--
	for len(s.queue) > 0 && s.busy < w.s.Slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.limit > w.now && !next.ended {
			w.begin(next)
		}
	}
}

// work draws how long a request takes.
func (w *world) work(r *Route) time.Duration {
	d := time.Duration(r.Work)
	if w.rand.Float64() < r.Tail {
		return time.Duration(float64(d) * r.TailTimes)
	}
	return time.Duration(float64(d) * (0.4 + 1.2*w.rand.Float64()))
}

// flip begins or ends an episode of failures and draws the next change.
func (w *world) flip(s *server) {
	f := w.s.Failing
	mean := time.Duration(f.Episode)
	if !s.failing {
		mean = time.Duration(float64(mean) * (1 - f.Share) / f.Share)
	}
	w.after(exponential(w.rand, mean), func() {
		s.failing = !s.failing
		w.flip(s)
	})
}

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}
