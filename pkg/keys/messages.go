package keys

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Message kinds of idempotency keys.
const (
	kindReserves fleet.Kind = 300 + iota
	kindGrants
	kindEnds
	kindAcks
)

// Attempt identifies one try to reserve a key. Caller is the process that received the
// request and sends the Reserve. Numbers increase within a process and are never reused.
type Attempt struct {
	Caller fleet.Member `msgpack:"c"`
	Number uint64       `msgpack:"n"`
}

// Reserve requests a key from a member of a view.
type Reserve struct {
	View        shard.View `msgpack:"v"`
	Scope       Scope      `msgpack:"s"`
	Attempt     Attempt    `msgpack:"a"`
	Fingerprint uint64     `msgpack:"f"`
}

// Reserves is a batch of reservations for one VM.
type Reserves struct {
	Reserves []Reserve `msgpack:"r"`
}

// GrantState is a member's reply to a Reserve.
type GrantState uint8

// Replies to a Reserve.
const (
	GrantAccepted       GrantState = iota + 1
	GrantStale                     // not a member of that view, or unable to admit now; View is the newest known
	GrantRunning                   // another attempt holds the key
	GrantDone                      // another attempt finished; Grant.Answer is nil if it was not stored
	GrantUnknown                   // another attempt may have run
	GrantMismatch                  // the key belongs to a request with another fingerprint
	GrantFull                      // the key is absent and the table is full
	GrantHistoryLost               // earlier records were lost, so the key may have run
	GrantHistoryUnknown            // it is not yet known whether earlier records were lost
)

// Grant answers one Reserve.
type Grant struct {
	Attempt Attempt    `msgpack:"a"`
	View    shard.View `msgpack:"v"`
	State   GrantState `msgpack:"s"`
	Answer  *Answer    `msgpack:"w,omitempty"`
}

// Grants answers Reserves.
type Grants struct {
	Grants []Grant `msgpack:"g"`
}

// End reports the result of an attempt. FinishNotRun also releases an attempt that was
// not admitted; it may arrive before the attempt's Reserve.
type End struct {
	View        shard.View   `msgpack:"v"`
	Scope       Scope        `msgpack:"s"`
	Attempt     Attempt      `msgpack:"a"`
	Fingerprint uint64       `msgpack:"f"`
	State       FinishResult `msgpack:"e"`
	Answer      *Answer      `msgpack:"w,omitempty"`
}

// Ends is a batch of ends for one VM. Each end is resent until it is acknowledged.
type Ends struct {
	Ends []End `msgpack:"e"`
}

// Ack answers one End. If Applied is false, View is the newest known view.
type Ack struct {
	Attempt Attempt    `msgpack:"a"`
	View    shard.View `msgpack:"v"`
	Applied bool       `msgpack:"o"`
}

// Acks answers Ends.
type Acks struct {
	Acks []Ack `msgpack:"a"`
}

// Kind implements fleet.Message.
func (*Reserves) Kind() fleet.Kind { return kindReserves }

// Kind implements fleet.Message.
func (*Grants) Kind() fleet.Kind { return kindGrants }

// Kind implements fleet.Message.
func (*Ends) Kind() fleet.Kind { return kindEnds }

// Kind implements fleet.Message.
func (*Acks) Kind() fleet.Kind { return kindAcks }

func init() {
	wire.Register(func() fleet.Message { return &Reserves{} })
	wire.Register(func() fleet.Message { return &Grants{} })
	wire.Register(func() fleet.Message { return &Ends{} })
	wire.Register(func() fleet.Message { return &Acks{} })
}

// Limits of one message, well below wire.MaxFrameBytes.
const (
	maxBatchItems = 1000
	maxBatchBytes = 1 << 20
	itemOverhead  = 256 // estimated size of an item in bytes, without strings and bodies
)

type peerQueue struct {
	reserves []Reserve
	grants   []Grant
	ends     []End
	acks     []Ack
}

func (k *Keys) queueFor(vm fleet.VMID) *peerQueue {
	q := k.queues[vm]
	if q == nil {
		q = &peerQueue{}
		k.queues[vm] = q
	}
	return q
}

func batch[T any](items []T, size func(T) int, emit func([]T)) {
	for len(items) > 0 {
		n, bytes := 0, 0
		for n < len(items) && n < maxBatchItems && (n == 0 || bytes+size(items[n]) <= maxBatchBytes) {
			bytes += size(items[n])
			n++
		}
		emit(items[:n:n])
		items = items[n:]
	}
}
