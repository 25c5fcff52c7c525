package proxy

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

const (
	// maxRateLimit is the largest rate limit that is believed, in requests per second.
	maxRateLimit = 1e9
	// maxPause bounds how long a server can keep requests of this VM away with one response.
	maxPause = time.Hour
)

// notice returns what the header of a server's response says about the server.
func (d Dialect) notice(resp *http.Response) pool.ServerNotice {
	n := pool.ServerNotice{Leaving: d.draining(resp)}
	if d.RateLimit != "" && len(resp.Header.Values(d.RateLimit)) > 0 {
		n.RateLimit, n.HasRateLimit = parseDecimal(resp.Header.Values(d.RateLimit), maxRateLimit)
		n.InvalidRateLimit = !n.HasRateLimit
	}
	if d.RetryAfter != "" && resp.StatusCode == http.StatusServiceUnavailable {
		seconds, _ := parseDecimal(resp.Header.Values(d.RetryAfter), maxPause.Seconds())
		n.Pause = time.Duration(seconds * float64(time.Second))
	}
	return n
}

// draining reports whether the server says that it is shutting down.
func (d Dialect) draining(resp *http.Response) bool {
	return d.Draining != "" && resp.Header.Get(d.Draining) != ""
}

// parseDecimal parses the only value of a header as a decimal number from 0 on. Larger numbers than limit
// are reduced to it.
func parseDecimal(values []string, limit float64) (float64, bool) {
	if len(values) != 1 {
		return 0, false
	}
	v, err := strconv.ParseFloat(values[0], 64)
	tooLarge := errors.Is(err, strconv.ErrRange)
	if err != nil && !tooLarge || math.IsInf(v, 0) && !tooLarge || !(v >= 0) { // NaN is not >= 0
		return 0, false
	}
	return min(v, limit), true
}

// reportNotice reports what the header of the attempt's response says about the server.
func (x *exchange) reportNotice(id pool.WorkID, resp *http.Response) {
	x.respondedAt, x.notice = x.p.engine.Now(), x.p.dialect.notice(resp)
	if x.notice != (pool.ServerNotice{}) {
		x.p.engine.HandleNotice(id, x.notice)
	}
}
