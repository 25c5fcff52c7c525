// Package keys keeps the records of idempotency keys, so that a non-idempotent
// request runs at most once, as section 5 of docs/design.md describes.
package keys

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// ReserveID numbers a reservation within one process.
type ReserveID uint64

// Scope identifies a key: the same key of another workspace or service is another scope.
type Scope struct {
	Workspace string        `msgpack:"w"`
	Service   fleet.Service `msgpack:"s"`
	Key       string        `msgpack:"k"`
}

// Answer is a kept answer of a finished request.
type Answer struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"h"`
	Body   []byte              `msgpack:"b"`
}

// FinishState says how an admitted request ended.
type FinishState uint8

// Ends of an admitted request.
const (
	FinishDone    FinishState = iota + 1 // the server answered; Answer is nil when it is too large to keep
	FinishUnknown                        // the request may have run
	FinishNotRun                         // proof that it did not run: the key is free again
)

// Verdict says what to do with a request that asked for a reservation.
type Verdict uint8

// Verdicts of a reservation.
const (
	VerdictRun    Verdict = iota + 1 // run it once, before Decision.DispatchBy
	VerdictReplay                    // return Decision.Answer
	VerdictRefuse                    // return Decision.Code
)

// Decision is the outcome of a reservation.
type Decision struct {
	Reserve    ReserveID
	Verdict    Verdict
	Code       result.Code
	Answer     *Answer
	DispatchBy fleet.Time // the first byte must leave before this instant
}
