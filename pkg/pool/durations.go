package pool

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Bounds of learned durations.
const (
	minDurationUS   = 50
	maxDurationUS   = 120_000_000
	learnSamples    = 20 // samples before a learned value is used
	learnWindow     = 10 * time.Second
	learnRefresh    = 500 * time.Millisecond
	initialDuration = 20 * time.Millisecond // before anything is learned
	slowFactor      = 3                     // times the median
	longFactor      = 8                     // a learned-long route's median over that of the pool's fastest half
	longAtLeast     = 100 * time.Millisecond
)

// route holds what a client has learned about one route of a pool.
type route struct {
	name    string
	ref     uint32
	length  document.Length
	hist    [2]*hdrhistogram.Histogram // current and previous window
	turned  fleet.Time
	fresh   fleet.Time
	samples int
	dirty   bool // samples since the last report

	own    RouteStat // learned by this VM
	shared RouteStat // merged by the coordinator
	long   bool
	class  int8 // cached class of weight 1
}

func (pl *pool) route(name string, length document.Length) *route {
	r := pl.names[name]
	if r == nil {
		r = &route{name: name, ref: routeRef(name)}
		pl.names[name] = r
		pl.routes[r.ref] = r
		pl.learned = append(pl.learned, r)
	}
	if r.length != length {
		r.length = length
		pl.classify(r)
	}
	return r
}

// learn adds the duration of a successful request.
func (r *route) learn(now fleet.Time, d time.Duration) {
	if r.hist[0] == nil {
		r.hist[0] = hdrhistogram.New(minDurationUS, maxDurationUS, 1)
		r.hist[1] = hdrhistogram.New(minDurationUS, maxDurationUS, 1)
		r.turned = now
	}
	if now.Sub(r.turned) > learnWindow {
		r.hist[0], r.hist[1] = r.hist[1], r.hist[0]
		r.hist[0].Reset()
		r.turned = now
	}
	us := min(max(d.Microseconds(), minDurationUS), maxDurationUS)
	_ = r.hist[0].RecordValue(us) // in range by the line above
	r.samples++
	r.dirty = true
}

// refresh recomputes the learned values; it is called on a slow cycle.
func (pl *pool) refresh(now fleet.Time, r *route) {
	if r.hist[0] == nil || now.Sub(r.fresh) < learnRefresh && r.own.Samples >= learnSamples {
		return
	}
	r.fresh = now
	h := r.hist[0]
	if h.TotalCount() < learnSamples && r.hist[1].TotalCount() > h.TotalCount() {
		h = r.hist[1]
	}
	r.own = RouteStat{
		Route: r.ref, Samples: int(h.TotalCount()),
		Median: uint32(h.ValueAtQuantile(50)), P90: uint32(h.ValueAtQuantile(90)), Mean: uint32(h.Mean()),
	}
	pl.classify(r)
}

// stat returns the pool's figures if there are any, or this VM's own.
func (r *route) stat() (RouteStat, bool) {
	if r.shared.Samples >= learnSamples {
		return r.shared, true
	}
	return r.own, r.own.Samples >= learnSamples
}

func us(v uint32) time.Duration { return time.Duration(v) * time.Microsecond }

// median returns the learned median, or 0 before there is one.
func (r *route) median() time.Duration {
	if s, ok := r.stat(); ok {
		return us(s.Median)
	}
	return 0
}

func (r *route) mean() time.Duration {
	if s, ok := r.stat(); ok {
		return us(s.Mean)
	}
	return initialDuration
}

func (r *route) p90() time.Duration {
	if s, ok := r.stat(); ok {
		return us(s.P90)
	}
	return 0
}

// classify decides whether the route is long and caches its admission class.
func (pl *pool) classify(r *route) {
	r.class = classOf(1, r.mean())
	switch r.length {
	case document.LengthLong:
		r.long = true
	case document.LengthShort:
		r.long = false
	default:
		m := r.median()
		fastest := time.Duration(math.MaxInt64)
		for _, o := range pl.learned {
			if om := o.median(); om > 0 && om < fastest {
				fastest = om
			}
		}
		r.long = m >= longAtLeast && m >= longFactor*fastest
	}
}

// Admission classes are half octaves of weight per second of expected server time.
const (
	classes     = 48
	classOffset = 20
)

// classOf returns the admission class; a higher one goes first.
func classOf(weight float64, expected time.Duration) int8 {
	if weight <= 0 {
		return 0
	}
	density := weight / max(expected.Seconds(), 1e-5)
	c := int(math.Floor(2*math.Log2(density))) + classOffset
	return int8(min(max(c, 0), classes-1))
}

// workClass returns the class of a piece of work on the route.
func (r *route) workClass(weight float64) int8 {
	if weight == 1 || weight <= 0 {
		return r.class
	}
	return classOf(weight, r.mean())
}

// mergeStats returns the sample-weighted merge of two routes' figures. The merged
// median is a weighted mean of medians, close enough for the threshold.
func mergeStats(stats []RouteStat) RouteStat {
	var out RouteStat
	var n, median, mean, p90 float64
	for _, s := range stats {
		w := float64(s.Samples)
		n += w
		median += w * float64(s.Median)
		mean += w * float64(s.Mean)
		p90 += w * float64(s.P90)
	}
	if n == 0 {
		return out
	}
	return RouteStat{Route: stats[0].Route, Samples: int(n), Median: uint32(median / n), Mean: uint32(mean / n), P90: uint32(p90 / n)}
}
