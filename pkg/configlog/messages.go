package configlog

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Message kinds of this package.
const (
	KindPull       fleet.Kind = 100
	KindRecords    fleet.Kind = 101
	KindStateAsk   fleet.Kind = 102
	KindStateOffer fleet.Kind = 103
	KindStateFetch fleet.Kind = 104
	KindStatePart  fleet.Kind = 105
	KindLagAsk     fleet.Kind = 106
	KindLagAnswer  fleet.Kind = 107
)

// Pull requests the records from Next on from a relay and subscribes to new ones.
type Pull struct {
	Next  platform.Offset `msgpack:"n"`
	Chain document.Hash   `msgpack:"h"` // chained hash of the records before Next, to detect divergence
}

// Relayed is a record as relays forward it. Receivers have no use for the data of a
// snapshot part, so only the record's hash and the part's header are sent for it.
type Relayed struct {
	Offset platform.Offset `msgpack:"o"`
	Data   []byte          `msgpack:"d,omitempty"`
	Part   *Snapshot       `msgpack:"p,omitempty"`
	Hash   document.Hash   `msgpack:"h"` // of the record; set with Part
}

// Records carries records of the log, in response to a Pull or pushed to a subscriber. It may be empty.
type Records struct {
	Records []Relayed       `msgpack:"r"`
	Tail    platform.Offset `msgpack:"t"` // next offset of the sender's state
	Base    platform.Offset `msgpack:"b"` // offset of the oldest record that the sender still holds
	Fresh   bool            `msgpack:"f"` // the sender read the log's tail within maxTailAge
}

// StateAsk requests a state that is newer than the sender's.
type StateAsk struct {
	Next platform.Offset `msgpack:"n"`
}

// StateOffer offers an encoded state.
type StateOffer struct {
	Next  platform.Offset `msgpack:"n"`
	Bytes int             `msgpack:"b"`
	Hash  document.Hash   `msgpack:"h"` // of the encoded state
}

// StateFetch requests one part of an offered state.
type StateFetch struct {
	Hash document.Hash `msgpack:"h"`
	Part int           `msgpack:"p"`
}

// StatePart is the response to StateFetch. Data is empty when the offer has expired.
type StatePart struct {
	Hash document.Hash `msgpack:"h"`
	Part int           `msgpack:"p"`
	Data []byte        `msgpack:"d"`
}

// LagAsk requests from a relay the VMs that have applied the records before Next.
type LagAsk struct {
	Wait uint64          `msgpack:"w"`
	Next platform.Offset `msgpack:"n"`
}

// LagAnswer lists the VMs that are known to the relay to have applied them.
type LagAnswer struct {
	Wait    uint64       `msgpack:"w"`
	Applied []fleet.VMID `msgpack:"a"`
}

// Kind returns KindPull.
func (*Pull) Kind() fleet.Kind { return KindPull }

// Kind returns KindRecords.
func (*Records) Kind() fleet.Kind { return KindRecords }

// Kind returns KindStateAsk.
func (*StateAsk) Kind() fleet.Kind { return KindStateAsk }

// Kind returns KindStateOffer.
func (*StateOffer) Kind() fleet.Kind { return KindStateOffer }

// Kind returns KindStateFetch.
func (*StateFetch) Kind() fleet.Kind { return KindStateFetch }

// Kind returns KindStatePart.
func (*StatePart) Kind() fleet.Kind { return KindStatePart }

// Kind returns KindLagAsk.
func (*LagAsk) Kind() fleet.Kind { return KindLagAsk }

// Kind returns KindLagAnswer.
func (*LagAnswer) Kind() fleet.Kind { return KindLagAnswer }

func init() {
	for _, newMessage := range []func() fleet.Message{
		func() fleet.Message { return new(Pull) },
		func() fleet.Message { return new(Records) },
		func() fleet.Message { return new(StateAsk) },
		func() fleet.Message { return new(StateOffer) },
		func() fleet.Message { return new(StateFetch) },
		func() fleet.Message { return new(StatePart) },
		func() fleet.Message { return new(LagAsk) },
		func() fleet.Message { return new(LagAnswer) },
	} {
		wire.Register(newMessage)
	}
}
