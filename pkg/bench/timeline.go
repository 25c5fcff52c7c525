package bench

import (
	"time"
)

// timelineStep is the length of a timeline bucket.
const timelineStep = 250 * time.Millisecond

// TimelineBucket counts the requests whose intended start lies in one step of the timeline.
type TimelineBucket struct {
	AtMS     float64  `json:"at_ms"`
	Offered  int      `json:"offered"`
	Answered int      `json:"answered"`
	NotRun   int      `json:"not_run"`
	Unknown  int      `json:"unknown"` // unknown, cut, lost with a VM, or timed out
	Failed   int      `json:"failed"`  // server errors and wrong responses
	P50MS    *float64 `json:"p50_ms"`
	P99MS    *float64 `json:"p99_ms"`
}

func (rd *runData) timeline() []TimelineBucket {
	n := int((time.Duration(rd.scenario.Duration) + timelineStep - 1) / timelineStep)
	out := make([]TimelineBucket, n)
	latencies := make([][]time.Duration, n)
	callerRTT := 2 * time.Duration(rd.scenario.Topology.ToClients)
	for i := range rd.ledger.calls {
		c := &rd.ledger.calls[i]
		k := min(n-1, int(c.at/timelineStep))
		b := &out[k]
		b.Offered++
		switch c.outcome {
		case outcomeAnswered:
			b.Answered++
			latencies[k] = append(latencies[k], c.latency(rd.begin)+callerRTT)
		case outcomeNotRun, outcomeRefused:
			b.NotRun++
		case outcomeFailed, outcomeWrong:
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
	// recoveredFactor is the highest median latency after the peak, relative to that
	// before it, at which a step counts as recovered.
	recoveredFactor = 1.5
	// recoveredSteps is the number of consecutive steps that must be recovered.
	recoveredSteps = 4
)

// measureRecovery measures the time from the end of the peak to the first of recoveredSteps
// consecutive steps that have recovered.
func (rd *runData) measureRecovery(m *Measures) {
	if rd.scenario.Peak == nil {
		return
	}
	before := newHistogram()
	for _, b := range m.Timeline {
		at := time.Duration(b.AtMS * float64(time.Millisecond))
		if at >= time.Duration(rd.scenario.Warmup) && at < time.Duration(rd.scenario.Peak.Start) && b.P50MS != nil {
			_ = before.RecordValue(int64(*b.P50MS * 1000))
		}
	}
	normal, _, _ := quantiles(before)
	if normal == nil {
		return
	}
	consecutive := 0
	for _, b := range m.Timeline {
		at := time.Duration(b.AtMS * float64(time.Millisecond))
		if at < time.Duration(rd.scenario.Peak.End) {
			continue
		}
		if b.P50MS == nil || *b.P50MS > recoveredFactor**normal {
			consecutive = 0
			continue
		}
		if consecutive++; consecutive == recoveredSteps {
			recovery := at - (recoveredSteps-1)*timelineStep - time.Duration(rd.scenario.Peak.End)
			m.RecoveryMS = ptr(max(0, ms(recovery)))
			return
		}
	}
}
