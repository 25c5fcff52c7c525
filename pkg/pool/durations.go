package pool

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Parameters of measured route durations.
const (
	minDurationUS       = 50
	maxDurationUS       = 120_000_000
	minSamples          = 20 // samples needed before a measured value is used
	histogramWindow     = 10 * time.Second
	statRefreshInterval = 500 * time.Millisecond
	initialDuration     = 20 * time.Millisecond // assumed before there are enough samples
	slowFactor          = 3                     // a request counts as slow after this multiple of the median
	longFactor          = 8                     // a route counts as long if its median is at least this multiple of the fastest route's
	minLongDuration     = 100 * time.Millisecond
)

// route holds the durations that a client has measured for one route of a pool.
type route struct {
	name        string
	ref         uint32
	length      document.Length
	hist        [2]*hdrhistogram.Histogram // current and previous window
	rotatedAt   fleet.Time
	refreshedAt fleet.Time
	samples     int
	unreported  bool // there are samples since the last report to the coordinator

	ownStat    RouteStat // measured by this VM
	sharedStat RouteStat // merged by the coordinator
	long       bool
	class      int8 // cached admission class for weight 1
}

func (pl *pool) route(name string, length document.Length) *route {
	r := pl.routesByName[name]
	if r == nil {
		r = &route{name: name, ref: routeRef(name)}
		pl.routesByName[name] = r
		pl.routesByRef[r.ref] = r
		pl.routeList = append(pl.routeList, r)
	}
	if r.length != length {
		r.length = length
		pl.classify(r)
	}
	return r
}

// recordDuration adds the duration of a successful request.
func (r *route) recordDuration(now fleet.Time, d time.Duration) {
	if r.hist[0] == nil {
		r.hist[0] = hdrhistogram.New(minDurationUS, maxDurationUS, 1)
		r.hist[1] = hdrhistogram.New(minDurationUS, maxDurationUS, 1)
		r.rotatedAt = now
	}
	if now.Sub(r.rotatedAt) > histogramWindow {
		r.hist[0], r.hist[1] = r.hist[1], r.hist[0]
		r.hist[0].Reset()
		r.rotatedAt = now
	}
	us := min(max(d.Microseconds(), minDurationUS), maxDurationUS)
	_ = r.hist[0].RecordValue(us) // cannot fail: the value is clamped above
	r.samples++
	r.unreported = true
}

// refresh recomputes the measured values, at most every statRefreshInterval once there are
// enough samples.
func (pl *pool) refresh(now fleet.Time, r *route) {
	if r.hist[0] == nil || now.Sub(r.refreshedAt) < statRefreshInterval && r.ownStat.Samples >= minSamples {
		return
	}
	r.refreshedAt = now
	h := r.hist[0]
	if h.TotalCount() < minSamples && r.hist[1].TotalCount() > h.TotalCount() {
		h = r.hist[1]
	}
	r.ownStat = RouteStat{
		Route: r.ref, Samples: int(h.TotalCount()),
		Median: uint32(h.ValueAtQuantile(50)), P90: uint32(h.ValueAtQuantile(90)), Mean: uint32(h.Mean()),
	}
	pl.classify(r)
}

// stat returns the statistics of the whole pool if available, else those of this VM, and
// whether there are enough samples.
func (r *route) stat() (RouteStat, bool) {
	if r.sharedStat.Samples >= minSamples {
		return r.sharedStat, true
	}
	return r.ownStat, r.ownStat.Samples >= minSamples
}

func microseconds(v uint32) time.Duration { return time.Duration(v) * time.Microsecond }

// median returns the measured median, or 0 if there are too few samples.
func (r *route) median() time.Duration {
	if s, ok := r.stat(); ok {
		return microseconds(s.Median)
	}
	return 0
}

// mean returns the measured mean, or initialDuration if there are too few samples.
func (r *route) mean() time.Duration {
	if s, ok := r.stat(); ok {
		return microseconds(s.Mean)
	}
	return initialDuration
}

// p90 returns the measured 90th percentile, or 0 if there are too few samples.
func (r *route) p90() time.Duration {
	if s, ok := r.stat(); ok {
		return microseconds(s.P90)
	}
	return 0
}

// classify updates the length class and the cached admission class of the route.
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
		for _, o := range pl.routeList {
			if om := o.median(); om > 0 && om < fastest {
				fastest = om
			}
		}
		r.long = m >= minLongDuration && m >= longFactor*fastest
	}
}

// An admission class covers a factor of sqrt(2) in weight per second of expected server time.
const (
	classes     = 48
	classOffset = 20
)

// classOf returns the admission class; higher classes are served first.
func classOf(weight float64, expected time.Duration) int8 {
	if weight <= 0 {
		return 0
	}
	density := weight / max(expected.Seconds(), 1e-5)
	c := int(math.Floor(2*math.Log2(density))) + classOffset
	return int8(min(max(c, 0), classes-1))
}

// workClass returns the admission class of work with this weight on the route.
func (r *route) workClass(weight float64) int8 {
	if weight == 1 || weight <= 0 {
		return r.class
	}
	return classOf(weight, r.mean())
}

// mergeStats merges the statistics of one route, weighted by samples. The merged median
// and 90th percentile are weighted means, which is accurate enough for the thresholds.
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
