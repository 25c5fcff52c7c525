package proxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// A parsed header takes memory by its lines rather than by its bytes: each line costs map entries and strings in
// net/http, and again in the copy for the server. All connections of callers share one budget for what their headers
// and trailers cost, from the first byte until the response was sent.

const (
	// headLineCost is what a line costs beside its bytes, as measured on 64-bit machines, with the copy.
	headLineCost = 256
	// freeHeadCost is the cost of a header that is not charged. Ordinary headers stay below it, so that they are served
	// while callers with large ones use up the budget.
	freeHeadCost = 8 << 10
	// headChargeStep is the size in which the budget is used.
	headChargeStep = 4 << 10
	// maxHeadCostPerByte is what a byte of a header costs at most: names in Trailer count as lines, and the shortest
	// ones take two bytes.
	maxHeadCostPerByte = (2 + headLineCost) / 2
	// maxKeptLine is the capacity of the line buffer that a connection keeps between two requests.
	maxKeptLine = 1 << 10
	// headRefusalLogInterval is the least interval between two log lines about refused headers.
	headRefusalLogInterval = time.Second
)

// headMemory is the budget of all callers' connections for headers.
type headMemory struct {
	budget     byteBudget
	total      int64
	retryAfter string // header line of a refusal; empty if the dialect has none
	log        logr.Logger
	refusals   *metrics.Counter

	mu     sync.Mutex
	logged time.Time
}

// newHeadMemory returns a budget that admits at least one header of the greatest size.
func newHeadMemory(l Limits, d Dialect, log logr.Logger, set *metrics.Set) *headMemory {
	total := max(l.MaxHeaderMemory, int64(l.MaxHeaderBytes)*maxHeadCostPerByte)
	m := &headMemory{budget: byteBudget{free: total}, total: total, log: log}
	if d.RetryAfter != "" {
		m.retryAfter = fmt.Sprintf("%s: %.3f\r\n", d.RetryAfter, l.RetryAfter.Seconds())
	}
	m.refusals = set.GetOrCreateCounter("fulmarbeam_header_memory_refusals_total")
	set.GetOrCreateGauge("fulmarbeam_header_memory_bytes", func() float64 { return float64(m.inUse()) })
	return m
}

func (m *headMemory) inUse() int64 {
	m.budget.mu.Lock()
	defer m.budget.mu.Unlock()
	return m.total - m.budget.free
}

// refuse counts a refusal. One line a second says that the budget is used up.
func (m *headMemory) refuse(caller string) *framingError {
	m.refusals.Inc()
	m.mu.Lock()
	due := time.Since(m.logged) >= headRefusalLogInterval
	if due {
		m.logged = time.Now()
	}
	m.mu.Unlock()
	if due {
		m.log.Info("header_memory_full", "caller", caller, "bytes", m.inUse(), "limit", m.total)
	}
	return &framingError{result.HeaderMemory, "the headers of all callers together exceed this VM's memory for them"}
}

// headCharge is what the header of one request on a connection takes from the budget.
type headCharge struct {
	request int // number of the request on its connection
	bytes   int64
}

// chargeHead takes n bytes from the budget for a request on the connection.
func (c *framingConn) chargeHead(request int, n int64) *framingError {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.heads.budget.reserve(n) {
		return c.heads.refuse(c.RemoteAddr().String())
	}
	if last := len(c.charges) - 1; last >= 0 && c.charges[last].request == request {
		c.charges[last].bytes += n
	} else {
		c.charges = append(c.charges, headCharge{request, n})
	}
	return nil
}

// releaseHeads returns to the budget what the requests up to a number took. c.mu must be held.
func (c *framingConn) releaseHeads(upTo int) {
	for len(c.charges) > 0 && c.charges[0].request <= upTo {
		c.heads.budget.release(c.charges[0].bytes)
		c.charges = c.charges[1:]
	}
}
