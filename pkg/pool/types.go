// Package pool shares the backend servers of a pool between VMs. It implements
// outlier detection and ejection, the minimum healthy capacity (floor), slot credits,
// and admission by weight. Section 6 of docs/design.md describes the rules.
package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// WorkID identifies a piece of work within one process.
type WorkID uint64

// Work is one attempt of a request; it needs a slot on a server.
type Work struct {
	ID               WorkID
	Service          fleet.Service
	Route            string
	Length           document.Length
	Weight           float64 // value of the work for admission
	Deadline         fleet.Time
	Idempotent       bool
	LatencyObjective time.Duration // latency objective relative to submission; 0 means none
	Workspace        string        // the caller's workspace; empty without one
	// WorkspacePriority is the workspace's priority, which takes precedence over Priority; 0 is the most urgent.
	WorkspacePriority int
	Priority          int              // of the route; 0 is the most urgent
	MaxRetries        int              // number of retries on other servers allowed after a failure
	Bytes             int              // size of the request body
	RequestID         string           // the caller's request ID, for logs
	IsRetry           bool             // the attempt counts against the retry budget
	Exclude           []fleet.ServerID // servers that this request has already tried
}

// Decision is the result of submitting work: a server to run it on, or a refusal code.
type Decision struct {
	Work       WorkID
	Server     fleet.Server // set when Code is result.OK
	Code       result.Code
	Delay      time.Duration   // time from the decision until the work may be sent; over when proxy.Engine returns the decision
	Trial      bool            // the server is ejected and the request tests its recovery
	Queued     time.Duration   // time spent in the queue
	RetryAfter time.Duration   // on refusal: suggested Retry-After; 0 means none
	Selection  SelectionInputs // inputs of the server choice
}

// SelectionInputs holds the inputs of a server choice, for logs.
type SelectionInputs struct {
	Risk     float64       // estimated probability that the server is failing
	Age      time.Duration // time since the last outcome that changed Risk
	Load     int           // estimated number of requests at the server
	Wait     time.Duration // expected wait in the server's queue
	Locality string        // location of the server: zone, region or far
	Servers  int           // number of candidate servers
	Held     int           // number of servers left out because of what they said about themselves
}

// EndState is the outcome of an attempt on a server.
type EndState uint8

// Outcomes of an attempt.
const (
	EndOK          EndState = iota + 1
	EndFailed               // 5xx, connection reset, truncated or mismatched response
	EndUnreachable          // no connection could be opened
	EndShed                 // the server rejected the request because of load
	EndDraining             // the server reported that it is shutting down
	EndCallerError          // 4xx: no evidence about the health of the server
	EndAbandoned            // the caller disconnected or the attempt was cancelled: no evidence about the server
	EndTimeout              // the deadline passed while the server was processing
)

// End describes how an attempt ended.
type End struct {
	State       EndState
	Duration    time.Duration // time at the server
	Bytes       int           // number of response body bytes read
	RequestSent bool          // part of the request may have reached the server
	RespondedAt fleet.Time    // when the header of the response was read; 0 without one
	Notice      ServerNotice  // in the header of the response
}

// ServerNotice is what a server says about itself in the header of a response.
type ServerNotice struct {
	HasRateLimit     bool
	RateLimit        float64       // requests per second that the server accepts from all VMs together, if HasRateLimit
	InvalidRateLimit bool          // the server names a limit that cannot be read; an earlier one remains in effect
	Leaving          bool          // the server is shutting down
	Pause            time.Duration // how long the server wants no request from this VM; 0 for no such wish
}
