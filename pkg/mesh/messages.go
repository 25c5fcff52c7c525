package mesh

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Kinds of messages between VMs; their numbers are part of the protocol.
const (
	kindHello   fleet.Kind = 601
	kindWelcome fleet.Kind = 602
	kindReport  fleet.Kind = 603
	kindBeacon  fleet.Kind = 604
	kindAsk     fleet.Kind = 605
	kindCopy    fleet.Kind = 606
	kindDigest  fleet.Kind = 607
)

// Hello greets a VM.
type Hello struct {
	Self  Member `msgpack:"s"`
	Fresh bool   `msgpack:"f"` // the VM has just started and knows nothing of the servers
	Known uint64 `msgpack:"k"` // hash of the VMs of its region that it has heard; 0: none
}

// Welcome answers a greeting with the VMs of the greeter's region that it lacks.
type Welcome struct {
	Self    Member          `msgpack:"s"`
	Members []Member        `msgpack:"m"`
	Fleet   int             `msgpack:"f"` // VMs of the fleet that the sender knows
	Ready   bool            `msgpack:"r"` // the sender has a copy of the state to give
	Digest  *balance.Digest `msgpack:"d"` // what the sender's zone believes of its servers
}

// Digest tells other zones what a zone believes of its servers. The VM that gets it
// from another zone passes it on to the VMs of its own.
type Digest struct {
	From   fleet.VMID     `msgpack:"f"`
	Relay  bool           `msgpack:"y"` // to be passed on
	VMs    int            `msgpack:"n"` // of the zone, as far as known
	Digest balance.Digest `msgpack:"d"`
}

// Report carries a balancer's report. The VM that gets one to be passed on sends it to
// the other VMs of its zone, so that it crosses zones once.
type Report struct {
	From   fleet.VMID     `msgpack:"f"`
	Relay  bool           `msgpack:"y,omitempty"`
	Report balance.Report `msgpack:"r"`
}

// Beacon carries what the region's reader read. It is passed on like a report.
type Beacon struct {
	From   fleet.VMID      `msgpack:"f"`
	Relay  bool            `msgpack:"y,omitempty"`
	Beacon follower.Beacon `msgpack:"b"`
}

// Ask asks for a copy of the state.
type Ask struct {
	From fleet.VMID `msgpack:"f"`
}

// Copy answers Ask. A VM without a copy answers with none.
type Copy struct {
	Copy *follower.Copy `msgpack:"c"`
}

// Kind returns the number of the message.
func (*Hello) Kind() fleet.Kind   { return kindHello }
func (*Welcome) Kind() fleet.Kind { return kindWelcome }
func (*Report) Kind() fleet.Kind  { return kindReport }
func (*Beacon) Kind() fleet.Kind  { return kindBeacon }
func (*Ask) Kind() fleet.Kind     { return kindAsk }
func (*Copy) Kind() fleet.Kind    { return kindCopy }
func (*Digest) Kind() fleet.Kind  { return kindDigest }

func init() {
	wire.Register(func() fleet.Message { return new(Hello) })
	wire.Register(func() fleet.Message { return new(Welcome) })
	wire.Register(func() fleet.Message { return new(Report) })
	wire.Register(func() fleet.Message { return new(Beacon) })
	wire.Register(func() fleet.Message { return new(Ask) })
	wire.Register(func() fleet.Message { return new(Copy) })
	wire.Register(func() fleet.Message { return new(Digest) })
}
