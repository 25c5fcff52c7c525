package pool

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// optimalWeight returns the weight that a single scheduler that knows all work times serves
// with the same slots. It starts the queued work with the highest weight per second that
// can still meet its deadline. The network round trip occupies the slot too.
func optimalWeight(arrivals []*request, slots int, from, to fleet.Time) float64 {
	roundTrip := 2 * networkDelay / 3
	var free simHeap // end times of running work
	var waiting []*request
	weight, next, now := 0.0, 0, fleet.Time(0)
	density := func(q *request) float64 { return q.route.weight / (q.workTime + roundTrip).Seconds() }
	for next < len(arrivals) || len(waiting) > 0 {
		for len(free) > 0 && free[0].at <= now {
			heap.Pop(&free)
		}
		for next < len(arrivals) && arrivals[next].arrivedAt <= now {
			q := arrivals[next]
			k, _ := slices.BinarySearchFunc(waiting, q, func(a, b *request) int { return cmp.Compare(density(a), density(b)) })
			waiting = slices.Insert(waiting, k, q)
			next++
		}
		for len(free) < slots && len(waiting) > 0 {
			q := waiting[len(waiting)-1]
			waiting = waiting[:len(waiting)-1]
			if end := now.Add(q.workTime + roundTrip); end <= q.work.Deadline {
				heap.Push(&free, simEvent{at: end, seq: int(q.work.ID)})
				if q.arrivedAt >= from && q.arrivedAt < to {
					weight += q.route.weight
				}
			}
		}
		at := fleet.Time(1<<63 - 1)
		if next < len(arrivals) {
			at = arrivals[next].arrivedAt
		}
		if len(free) > 0 && (len(waiting) > 0 || next >= len(arrivals)) {
			at = min(at, free[0].at)
		}
		if at == 1<<63-1 {
			break
		}
		now = at
	}
	return weight
}

// Guards against faults at a load peak of twice the capacity for 5 s: work of low weight
// takes slots from work of high weight, slots stay idle, or the backlog outlasts the peak.
func TestPeakLoadServesHeaviestWork(t *testing.T) {
	for seed := range uint64(4) {
		s := newSim(t, seed, 12, 20, defaultFloor, PolicyCredits)
		s.routes = []simRoute{
			{name: "browse", work: 20 * ms, spread: 0.3, weight: 1, share: 0.6, deadline: 1500 * ms},
			{name: "order", work: 25 * ms, spread: 0.3, weight: 4, share: 0.3, deadline: 3 * time.Second, nonIdempotent: true},
			{name: "pay", work: 15 * ms, spread: 0.3, weight: 20, share: 0.1, deadline: 5 * time.Second, nonIdempotent: true},
		}
		capacity := 120 / (0.6*0.021 + 0.3*0.026 + 0.1*0.016) // without the network round trip
		s.onTick = s.checkSlots
		s.rate = 0.5 * capacity
		s.run(8 * time.Second)
		from := s.now
		s.rate, s.measureFrom = 2*capacity, s.now
		s.run(5 * time.Second)
		s.rate = 0.5 * capacity
		to := s.now
		s.run(2 * time.Second)
		after := s.now
		s.waits = map[string][]time.Duration{}
		s.run(3 * time.Second)
		best := optimalWeight(s.arrivals, 120, from, to)
		served := 0.0
		for _, q := range s.arrivals {
			if q.arrivedAt >= from && q.arrivedAt < to && q.ok {
				served += q.route.weight
			}
		}
		var waits []time.Duration
		for _, q := range s.arrivals {
			if q.arrivedAt > after && q.ok {
				waits = append(waits, q.queued)
			}
		}
		t.Logf("seed %d: weight %.0f of %.0f (%.1f%%), sheds %d of %d, p99 wait from 2 s after the peak %v", seed, served, best, 100*served/best, s.sheds, s.done, quantile(waits, 0.99))
		require.GreaterOrEqual(t, served, 0.95*best)
		require.Less(t, float64(s.sheds), 0.01*float64(s.done))
		require.Less(t, quantile(waits, 0.99), 10*ms)
		require.Zero(t, s.count(EventEjected))
	}
}

// Guards against short work that is delayed by stragglers or by long work.
func TestShortWorkIsNotBlocked(t *testing.T) {
	p99 := func(t *testing.T, seed uint64, stragglers float64, long bool) time.Duration {
		s := newSim(t, seed, 12, 20, defaultFloor, PolicyCredits)
		s.stragglerShare = stragglers
		mean := 0.0209 * (1 + 49*stragglers)
		if s.routes[0].share = 1; long {
			s.routes[0].share = 0.98
			s.routes = append(s.routes, simRoute{name: "report", work: time.Second, spread: 0.2, weight: 1, share: 0.02, length: document.LengthLong, deadline: 20 * time.Second})
			mean = 0.98*mean + 0.02*1.02
		}
		s.rate = 0.7 * 120 / mean
		s.onTick = s.checkSlots
		s.run(10 * time.Second)
		s.measureFrom = s.now
		s.run(20 * time.Second)
		require.Zero(t, s.sheds)
		return quantile(s.waits["menu"], 0.99)
	}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			plain, stragglers, long := p99(t, seed, 0, false), p99(t, seed, 0.05, false), p99(t, seed, 0, true)
			t.Logf("p99 wait %v plain, %v with stragglers, %v with long work", plain, stragglers, long)
			assert.LessOrEqual(t, stragglers, 2*plain)
			assert.LessOrEqual(t, long, 2*plain)
		})
	}
}
