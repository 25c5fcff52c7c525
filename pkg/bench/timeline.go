package bench

import (
	"time"
)

// timelineStep is the length of a bucket of the timeline.
const timelineStep = 250 * time.Millisecond

// Bucket is a step of a run, by the requests' intended start.
type Bucket struct {
	AtMS     float64  `json:"at_ms"`
	Offered  int      `json:"offered"`
	Answered int      `json:"answered"`
	NotRun   int      `json:"not_run"`
	Unknown  int      `json:"unknown"` // unknown, cut, lost with a VM or timed out
	Failed   int      `json:"failed"`  // errors of servers that were passed on, and wrong answers
	P50MS    *float64 `json:"p50_ms"`
	P99MS    *float64 `json:"p99_ms"`
}

func (e *evidence) timeline() []Bucket {
	n := int((time.Duration(e.s.Duration) + timelineStep - 1) / timelineStep)
	out := make([]Bucket, n)
	latencies := make([][]time.Duration, n)
	trip := 2 * time.Duration(e.s.Topology.ToClients)
	for i := range e.books.calls {
		c := &e.books.calls[i]
		k := min(n-1, int(c.at/timelineStep))
		b := &out[k]
		b.Offered++
		switch c.outcome {
		case outAnswered:
			b.Answered++
			latencies[k] = append(latencies[k], c.latency(e.begin)+trip)
		case outNotRun, outRefused:
			b.NotRun++
		case outFailed, outWrong:
			b.Failed++
		default:
			b.Unknown++
		}
	}
	for k := range out {
		out[k].AtMS = ms(time.Duration(k) * timelineStep)
		h := newHistogram()
		for _, d := range latencies[k] {
			_ = h.RecordValue(max(1, d.Microseconds()))
		}
		out[k].P50MS, out[k].P99MS, _ = quantiles(h)
	}
	return out
}

const (
	// recoveredFactor is how much above the median before the peak the median after
	// it may be to count as normal.
	recoveredFactor = 1.5
	// recoveredSteps is how many steps in a row must be normal.
	recoveredSteps = 4
)

// recovery measures how long after the peak the median latency is normal again.
func (e *evidence) recovery(m *Measures) {
	if e.s.Peak == nil {
		return
	}
	before := newHistogram()
	for _, b := range m.Timeline {
		at := time.Duration(b.AtMS * float64(time.Millisecond))
		if at >= time.Duration(e.s.Warmup) && at < time.Duration(e.s.Peak.Start) && b.P50MS != nil {
			_ = before.RecordValue(int64(*b.P50MS * 1000))
		}
	}
	normal, _, _ := quantiles(before)
	if normal == nil {
		return
	}
	row := 0
	for _, b := range m.Timeline {
		at := time.Duration(b.AtMS * float64(time.Millisecond))
		if at < time.Duration(e.s.Peak.End) {
			continue
		}
		if b.P50MS == nil || *b.P50MS > recoveredFactor**normal {
			row = 0
			continue
		}
		if row++; row == recoveredSteps {
			since := at - (recoveredSteps-1)*timelineStep - time.Duration(e.s.Peak.End)
			m.RecoveryMS = ptr(max(0, ms(since)))
			return
		}
	}
}
