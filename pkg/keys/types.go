// Package keys stores records of idempotency keys, so that a non-idempotent request
// runs at most once. Section 5 of docs/design.md describes the protocol.
package keys

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// ReservationID identifies a reservation within one process.
type ReservationID uint64

// Scope identifies a key. Equal keys of different workspaces or services are independent.
type Scope struct {
	Workspace string        `msgpack:"w"`
	Service   fleet.Service `msgpack:"s"`
	Key       string        `msgpack:"k"`
}

// Answer is the stored response of a finished request.
type Answer struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"h"`
	Body   []byte              `msgpack:"b"`
}

// FinishResult is the result of an admitted request.
type FinishResult uint8

// Results of an admitted request.
const (
	FinishDone    FinishResult = iota + 1 // the server responded; the Answer is nil if it is too large to store
	FinishUnknown                         // the request may have run
	FinishNotRun                          // the request certainly did not run, so the key becomes free again
)

// Verdict is what to do with a request after its reservation.
type Verdict uint8

// Reservation verdicts.
const (
	VerdictRun    Verdict = iota + 1 // run the request once and dispatch it before Decision.DispatchBy
	VerdictReplay                    // return Decision.Answer
	VerdictRefuse                    // return Decision.Code
)

// Decision is the outcome of a reservation.
type Decision struct {
	Reserve    ReservationID
	Verdict    Verdict
	Code       result.Code
	Answer     *Answer
	DispatchBy fleet.Time // the first byte of the request must be sent before this instant
}
