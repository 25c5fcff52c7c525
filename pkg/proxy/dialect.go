package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect names the headers that the proxy uses in addition to the standard ones, and how it treats
// some standard ones. An empty name disables the header.
type Dialect struct {
	RequestID  string // request ID, read from callers and sent to servers
	Deadline   string // how long the sender of a request waits for the response, in milliseconds
	Target     string // ID of the server that a request is addressed to
	Shed       string // in a 503: the server is overloaded; the value is "1" unless AcceptAnyShedValue is set
	Declined   string // in a 503: the server declined for another reason
	Draining   string // in a response: the server is shutting down
	Signature  string // in a response: signature that proves its origin
	RetryAfter string // in a 503 of this proxy or of a server, and in a 429 of this proxy: delay before the next request, in fractional seconds
	RateLimit  string // in a response: requests per second that the server accepts from all VMs together
	APIKey     string // from callers: the key of their workspace; never sent to servers while the document requires keys
	Workspace  string // to servers: the name of the caller's workspace, while the document requires keys

	AcceptAnyShedValue    bool // any value of Shed in a response with status 400 or above means that the request did not run
	KeepRequestID         bool // servers receive the caller's request ID unchanged
	ForwardIdempotencyKey bool // an Idempotency-Key is forwarded to servers like any other header
	OmitProxyHeaders      bool // no Via, X-Forwarded-For or trace headers are sent to servers
	AllowContentEncoding  bool // responses with a Content-Encoding are accepted
}

// DefaultDialect returns the headers specified in docs/design.md, section 7.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID:            "X-Request-Id",
		Deadline:             "X-Fulmar-Deadline-Ms",
		Shed:                 "X-Fulmar-Shed",
		Declined:             "X-Fulmar-Declined",
		Draining:             "X-Fulmar-Draining",
		APIKey:               "X-Fulmar-Key",
		Workspace:            "X-Fulmar-Workspace",
		AllowContentEncoding: true,
	}
}

// callerTimeout returns how long the caller waits, and whether the request specifies it. The header is read from
// callers only if KeepRequestID is set; otherwise it is only sent to servers.
func (d Dialect) callerTimeout(h http.Header) (time.Duration, bool) {
	if d.Deadline == "" || !d.KeepRequestID {
		return 0, false
	}
	ms, err := strconv.ParseInt(h.Get(d.Deadline), 10, 64)
	if err != nil || ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// shed reports whether the response means that the server was overloaded and did not run the request.
func (d Dialect) shed(resp *http.Response) bool {
	if d.AcceptAnyShedValue {
		return resp.StatusCode >= 400 && len(resp.Header.Values(d.Shed)) > 0
	}
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(d.Shed) == "1"
}

// declined reports whether the response means that the server did not run the request for a reason
// other than overload.
func (d Dialect) declined(resp *http.Response) bool {
	if d.Target != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return d.Declined != "" && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(d.Declined) != ""
}
