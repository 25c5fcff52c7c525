// Package proxy forwards HTTP requests from callers to backend servers. It classifies the outcome of
// each request, forwards only verified responses, and delegates scheduling decisions to an Engine.
package proxy

import (
	"context"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// Kinds of events about a single request.
const (
	eventUnknown fleet.EventKind = "request_unknown" // the caller received the outcome "unknown"
	eventCrossed fleet.EventKind = "answer_crossed"  // a response that does not belong to this request was rejected
	eventRetry   fleet.EventKind = "request_retried" // an attempt failed and the request is retried on another server
)

// Engine makes the decisions about requests. All methods are safe for concurrent use. It is implemented
// by package node on top of the deterministic core, and by package gateway on top of package balance.
type Engine interface {
	// Now returns the engine's monotonic time.
	Now() fleet.Time
	// Routes returns the current routing index, or nil before the first document.
	Routes() *document.Index
	// WaitReady blocks until a document is available or ctx ends.
	WaitReady(ctx context.Context)
	// SelectBackend selects one of the route's backends in proportion to their weights.
	SelectBackend(route document.RouteMatch) fleet.Service
	// TakeQuota takes one request from the quota of a workspace that has one. If nothing is left, it returns
	// the time after which the caller can expect to be admitted.
	TakeQuota(workspace string) (retryAfter time.Duration, ok bool)
	// ReturnQuota returns what TakeQuota took, for a request that provably did not run.
	ReturnQuota(workspace string)
	// Acquire waits for a slot on a server. A refusal sets the code of the decision. If ctx ends
	// first, the work is withdrawn and the code is CallerGone.
	Acquire(ctx context.Context, work pool.Work) pool.Decision
	// HandleNotice reports what the header of the attempt's response says about the server, before the
	// response is forwarded. It is called before Release, and only for a header that says something.
	HandleNotice(id pool.WorkID, notice pool.ServerNotice)
	// Release reports the result of the attempt and frees the slot.
	Release(id pool.WorkID, end pool.End)
	// NewWorkID returns a new work ID.
	NewWorkID() pool.WorkID
	// MayRetry consumes one retry from the service's budget and reports whether one was available.
	MayRetry(service fleet.Service) bool
	// Reserve requests permission to run a request with an idempotency key.
	Reserve(ctx context.Context, workspace string, scope keys.Scope, fingerprint uint64, deadline fleet.Time) keys.Decision
	// FinishReservation completes a reservation whose verdict was VerdictRun.
	FinishReservation(id keys.ReservationID, result keys.FinishResult, response *keys.StoredResponse)
	// RecordEvent appends an event to the journal.
	RecordEvent(event fleet.Event)
	// Draining reports whether shutdown has begun.
	Draining() bool
}
