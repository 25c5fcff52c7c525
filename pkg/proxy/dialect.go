package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect names the headers that the proxy reads and writes besides those of HTTP.
// An empty name turns the header off.
type Dialect struct {
	RequestID  string // id of a request, from callers and towards servers
	Deadline   string // milliseconds that the sender of a request waits for its answer
	Target     string // id of the server that a request is meant for
	Shed       string // in a 503: the server has no room; the value is "1" unless AnyShed is set
	Declined   string // in a 503: the server declined for another reason
	Draining   string // in an answer: the server is leaving
	Signature  string // in an answer: the server's proof that it made the answer
	RetryAfter string // in a refusal: seconds, with fractions, after which to come back

	AnyShed bool // any value of Shed, with any failure status, says that the request did not run
	OwnID   bool // a request keeps the caller's id towards servers
	KeyPass bool // an Idempotency-Key passes to servers like any other header
	Plain   bool // no Via, X-Forwarded-For or trace headers towards servers
	Encoded bool // an answer with a Content-Encoding is accepted
}

// DefaultDialect returns the headers of docs/design.md, section 7.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID: "X-Request-Id",
		Deadline:  "X-Fulmar-Deadline-Ms",
		Shed:      "X-Fulmar-Shed",
		Declined:  "X-Fulmar-Declined",
		Draining:  "X-Fulmar-Draining",
		Encoded:   true,
	}
}

// callerDeadline returns how long the caller waits, and whether it said so.
func (d Dialect) callerDeadline(h http.Header) (time.Duration, bool) {
	if d.Deadline == "" || !d.OwnID {
		return 0, false
	}
	ms, err := strconv.ParseInt(h.Get(d.Deadline), 10, 64)
	if err != nil || ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// shed reports whether the answer says that the server had no room for the request
// and did not run it.
func (d Dialect) shed(resp *http.Response) bool {
	if d.AnyShed {
		return resp.StatusCode >= 400 && len(resp.Header.Values(d.Shed)) > 0
	}
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(d.Shed) == "1"
}

// declined reports whether the answer says that the server did not run the request
// for a reason other than its load.
func (d Dialect) declined(resp *http.Response) bool {
	if d.Target != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return d.Declined != "" && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(d.Declined) != ""
}
