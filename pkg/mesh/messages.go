package mesh

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/quota"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Kinds of messages between VMs. Their numbers are part of the protocol.
const (
	kindHello           fleet.Kind = 601
	kindWelcome         fleet.Kind = 602
	kindReport          fleet.Kind = 603
	kindRegistryUpdate  fleet.Kind = 604
	kindSnapshotRequest fleet.Kind = 605
	kindSnapshotReply   fleet.Kind = 606
	kindDigest          fleet.Kind = 607
	kindBatch           fleet.Kind = 608
	kindCompressed      fleet.Kind = 609
	kindQuotaUse        fleet.Kind = 610
)

// Hello announces its sender to a VM and requests a Welcome.
type Hello struct {
	Self       Member `msgpack:"s"`
	NeedsState bool   `msgpack:"f"`           // the VM has just started and has no state of the servers
	KnownHash  uint64 `msgpack:"k"`           // hash of the known VMs of its region; 0: none
	SentAt     int64  `msgpack:"t,omitempty"` // by the sender's clock, to be returned in the Welcome
}

// Welcome replies to a Hello with VMs that are unknown to the sender of the Hello.
type Welcome struct {
	Self      Member          `msgpack:"s"`
	Members   []ListedMember  `msgpack:"m"`
	FleetSize int             `msgpack:"f"`           // number of VMs of the fleet known to the sender
	Ready     bool            `msgpack:"r"`           // the sender can provide a snapshot of the state
	Digest    *balance.Digest `msgpack:"d"`           // of the sender's zone
	HelloAt   int64           `msgpack:"t,omitempty"` // Hello.SentAt
	// Document of the sender.
	Document follower.DocumentState `msgpack:"c"`
}

// Digest sends a zone's digest to other zones. The VM that receives it from another zone
// relays it to the VMs of its own zone.
type Digest struct {
	From   fleet.VMID     `msgpack:"f"`
	Relay  bool           `msgpack:"y"` // to be relayed
	VMs    int            `msgpack:"n"` // number of known VMs of the zone
	Digest balance.Digest `msgpack:"d"`
	// Document of the sender; zero in a relayed digest.
	Document follower.DocumentState `msgpack:"c,omitempty"`
}

// Report carries a balancer's report. A VM that receives one with Relay set sends it to the
// other VMs of its zone, so that it crosses zones only once. One with Forward set is for the
// region's other zones.
type Report struct {
	From    fleet.VMID     `msgpack:"f"`
	Relay   bool           `msgpack:"y,omitempty"`
	Forward bool           `msgpack:"w,omitempty"`
	Report  balance.Report `msgpack:"r"`
	Quota   []quota.Use    `msgpack:"q,omitempty"` // for the VMs of its zone
}

// QuotaUse tells another zone of the use of quotas. The VM that receives one with Relay set relays it to the VMs of its
// own zone.
type QuotaUse struct {
	From   fleet.VMID       `msgpack:"f"`
	Relay  bool             `msgpack:"y,omitempty"`
	Report quota.ZoneReport `msgpack:"r"`
}

// Batch carries the reports of several VMs of a zone. One with Relay set comes from another zone and is
// relayed like a Report.
type Batch struct {
	From    fleet.VMID      `msgpack:"f"` // the relay
	Relay   bool            `msgpack:"y,omitempty"`
	Reports []RelayedReport `msgpack:"r"`
}

// RegistryUpdate carries an update of the region's reader, or of another VM about its document only. It is relayed
// like a Report.
type RegistryUpdate struct {
	From   fleet.VMID      `msgpack:"f"`
	Relay  bool            `msgpack:"y,omitempty"`
	Update follower.Update `msgpack:"b"`
}

// Compressed carries the frame of a large message, compressed with DEFLATE.
type Compressed struct {
	Frame []byte `msgpack:"z"`
}

// SnapshotRequest requests a snapshot of the state.
type SnapshotRequest struct {
	From fleet.VMID `msgpack:"f"`
}

// SnapshotReply replies to a SnapshotRequest. It is empty if the VM's state is not complete.
type SnapshotReply struct {
	Compressed []byte `msgpack:"z"` // a follower.Snapshot in msgpack, compressed with DEFLATE
}

// Kind implements fleet.Message.
func (*Hello) Kind() fleet.Kind           { return kindHello }
func (*Welcome) Kind() fleet.Kind         { return kindWelcome }
func (*Report) Kind() fleet.Kind          { return kindReport }
func (*RegistryUpdate) Kind() fleet.Kind  { return kindRegistryUpdate }
func (*SnapshotRequest) Kind() fleet.Kind { return kindSnapshotRequest }
func (*SnapshotReply) Kind() fleet.Kind   { return kindSnapshotReply }
func (*Digest) Kind() fleet.Kind          { return kindDigest }
func (*Batch) Kind() fleet.Kind           { return kindBatch }
func (*Compressed) Kind() fleet.Kind      { return kindCompressed }
func (*QuotaUse) Kind() fleet.Kind        { return kindQuotaUse }

func init() {
	wire.Register(func() fleet.Message { return new(Hello) })
	wire.Register(func() fleet.Message { return new(Welcome) })
	wire.Register(func() fleet.Message { return new(Report) })
	wire.Register(func() fleet.Message { return new(RegistryUpdate) })
	wire.Register(func() fleet.Message { return new(SnapshotRequest) })
	wire.Register(func() fleet.Message { return new(SnapshotReply) })
	wire.Register(func() fleet.Message { return new(Digest) })
	wire.Register(func() fleet.Message { return new(Batch) })
	wire.Register(func() fleet.Message { return new(Compressed) })
	wire.Register(func() fleet.Message { return new(QuotaUse) })
}
