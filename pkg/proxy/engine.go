// Package proxy serves HTTP between callers and backend servers. It classifies
// each outcome, passes only whole answers, and leaves decisions to an Engine.
package proxy

import (
	"context"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// Kinds of events about one request.
const (
	eventUnknown fleet.EventKind = "request_unknown" // the caller was told "unknown"
	eventCrossed fleet.EventKind = "answer_crossed"  // an answer that is not this request's was refused
	eventRetry   fleet.EventKind = "request_retried" // an attempt at a server failed and is repeated elsewhere
)

// Engine decides about requests. All methods are safe for concurrent use. Package
// node implements it over the deterministic core.
type Engine interface {
	// Now returns the engine's monotonic time.
	Now() fleet.Time
	// Routes returns the look-up table in force, or nil before the first document.
	Routes() *document.Index
	// WaitReady waits until there is a document, or ctx ends.
	WaitReady(ctx context.Context)
	// Split chooses one of the route's backends by their weights.
	Split(route document.RouteMatch) fleet.Service
	// Acquire waits for a slot. A refusal has a code in the decision. It returns the
	// code CallerGone when ctx ends first; the work is withdrawn then.
	Acquire(ctx context.Context, work pool.Work) pool.Decision
	// Release reports how the attempt ended and gives the slot back.
	Release(id pool.WorkID, end pool.End)
	// NextWork returns a new work number.
	NextWork() pool.WorkID
	// MayRetry takes one repeat from the service's budget if there is one.
	MayRetry(service fleet.Service) bool
	// Reserve asks for the right to run a request with an idempotency key.
	Reserve(ctx context.Context, workspace string, scope keys.Scope, fingerprint uint64, deadline fleet.Time) keys.Decision
	// Finish ends a reservation that got VerdictRun.
	Finish(id keys.ReserveID, state keys.FinishState, answer *keys.Answer)
	// Record adds an event to the journal.
	Record(event fleet.Event)
	// Draining reports that shutdown has begun.
	Draining() bool
}
