package configlog

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Message kinds of this package.
const (
	KindPull             fleet.Kind = 100
	KindRecords          fleet.Kind = 101
	KindStateRequest     fleet.Kind = 102
	KindStateOffer       fleet.Kind = 103
	KindStatePartRequest fleet.Kind = 104
	KindStatePart        fleet.Kind = 105
	KindLagRequest       fleet.Kind = 106
	KindLagResponse      fleet.Kind = 107
)

// Pull requests the records from Next on from a relay and subscribes to new ones.
type Pull struct {
	Next  platformapi.Offset `msgpack:"n"`
	Chain document.Hash      `msgpack:"h"` // chained hash of the records before Next, to detect divergence
}

// RelayedRecord is a record as relays forward it. Receivers have no use for the data of a
// snapshot part, so only the record's hash and the part's header are sent for it.
type RelayedRecord struct {
	Offset platformapi.Offset `msgpack:"o"`
	Data   []byte             `msgpack:"d,omitempty"`
	Part   *SnapshotPart      `msgpack:"p,omitempty"`
	Hash   document.Hash      `msgpack:"h"` // of the record; set with Part
}

// Records carries records of the log, in response to a Pull or pushed to a subscriber. It may be empty.
type Records struct {
	Records []RelayedRecord    `msgpack:"r"`
	Tail    platformapi.Offset `msgpack:"t"` // next offset of the sender's state
	Base    platformapi.Offset `msgpack:"b"` // offset of the oldest record that the sender still holds
	Fresh   bool               `msgpack:"f"` // the sender read the log's tail within maxTailAge
}

// StateRequest requests a state that is newer than the sender's.
type StateRequest struct {
	Next platformapi.Offset `msgpack:"n"`
}

// StateOffer offers an encoded state.
type StateOffer struct {
	Next  platformapi.Offset `msgpack:"n"`
	Bytes int                `msgpack:"b"`
	Hash  document.Hash      `msgpack:"h"` // of the encoded state
}

// StatePartRequest requests one part of an offered state.
type StatePartRequest struct {
	Hash document.Hash `msgpack:"h"`
	Part int           `msgpack:"p"`
}

// StatePart is the response to StatePartRequest. Data is empty when the offer has expired.
type StatePart struct {
	Hash document.Hash `msgpack:"h"`
	Part int           `msgpack:"p"`
	Data []byte        `msgpack:"d"`
}

// LagRequest queries a relay for the VMs that have applied the records before Next.
type LagRequest struct {
	Wait uint64             `msgpack:"w"` // number of the sender's wait, see Node.WaitApplied
	Next platformapi.Offset `msgpack:"n"`
}

// LagResponse lists the VMs that have applied the records before Next, as known to the relay.
type LagResponse struct {
	Wait    uint64       `msgpack:"w"` // from the LagRequest
	Applied []fleet.VMID `msgpack:"a"`
}

// Kind returns KindPull.
func (*Pull) Kind() fleet.Kind { return KindPull }

// Kind returns KindRecords.
func (*Records) Kind() fleet.Kind { return KindRecords }

// Kind returns KindStateRequest.
func (*StateRequest) Kind() fleet.Kind { return KindStateRequest }

// Kind returns KindStateOffer.
func (*StateOffer) Kind() fleet.Kind { return KindStateOffer }

// Kind returns KindStatePartRequest.
func (*StatePartRequest) Kind() fleet.Kind { return KindStatePartRequest }

// Kind returns KindStatePart.
func (*StatePart) Kind() fleet.Kind { return KindStatePart }

// Kind returns KindLagRequest.
func (*LagRequest) Kind() fleet.Kind { return KindLagRequest }

// Kind returns KindLagResponse.
func (*LagResponse) Kind() fleet.Kind { return KindLagResponse }

func init() {
	for _, newMessage := range []func() fleet.Message{
		func() fleet.Message { return new(Pull) },
		func() fleet.Message { return new(Records) },
		func() fleet.Message { return new(StateRequest) },
		func() fleet.Message { return new(StateOffer) },
		func() fleet.Message { return new(StatePartRequest) },
		func() fleet.Message { return new(StatePart) },
		func() fleet.Message { return new(LagRequest) },
		func() fleet.Message { return new(LagResponse) },
	} {
		wire.Register(newMessage)
	}
}
