// Package pool shares the backend servers of a pool between VMs: evidence and
// ejection, the floor of healthy capacity, slot credits, and admission by weight.
// Section 6 of docs/design.md describes the rules.
package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// WorkID numbers a piece of work within one process.
type WorkID uint64

// Work is one attempt of a request that needs a slot of a server.
type Work struct {
	ID         WorkID
	Service    fleet.Service
	Route      string
	Length     document.Length
	Weight     float64
	Deadline   fleet.Time
	Idempotent bool
	Objective  time.Duration    // latency objective counted from now; 0 means none
	Priority   int              // 0 is the most urgent
	Repeats    int              // further servers that may be tried after a failure
	Bytes      int              // size of the request body
	Request    string           // the caller's request id, for logs
	IsRetry    bool             // counts against the retry budget
	Exclude    []fleet.ServerID // servers that this request already tried
}

// Decision answers a piece of work: a server to run it on, or a code.
type Decision struct {
	Work   WorkID
	Server fleet.Server // set when Code is result.OK
	Code   result.Code
	Trial  bool          // the server is on trial after an ejection
	Queued time.Duration // how long the work waited
	Retry  time.Duration // with a refusal: when to come back; 0 means no advice
	Basis  Basis         // what the choice went by
}

// Basis is what a choice of a server went by, for logs.
type Basis struct {
	Risk    float64       // believed probability that the server is failing
	Age     time.Duration // since the last outcome that moved the risk
	Load    int           // requests believed to be at the server
	Wait    time.Duration // expected in the server's queue
	Place   string        // of the server: zone, region or far
	Servers int           // servers that could have been chosen
}

// EndState says how an attempt on a server ended.
type EndState uint8

// Ends of an attempt.
const (
	EndOK          EndState = iota + 1
	EndFailed               // 5xx, reset, truncated or crossed answer
	EndUnreachable          // no connection
	EndShed                 // the server declined because of load
	EndDraining             // the server says that it is leaving
	EndCallerError          // 4xx: no evidence about the server
	EndAbandoned            // the caller left or the attempt was cancelled: no evidence
	EndTimeout              // the deadline passed at the server
)

// End reports an attempt's end.
type End struct {
	State    EndState
	Duration time.Duration // time at the server
	Bytes    int           // size of the answer's body as far as it was read
	Sent     bool          // a byte of the request may have reached the server
}
