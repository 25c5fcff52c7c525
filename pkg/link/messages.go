package link

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Message kinds of this package.
const (
	kindHello     fleet.Kind = 500
	kindHeartbeat fleet.Kind = 501
	kindRefused   fleet.Kind = 502
)

// Hello is the first message on a connection and identifies the sender.
type Hello struct {
	Version      int          `msgpack:"p"`
	Fleet        string       `msgpack:"f"`
	From         fleet.Member `msgpack:"m"`
	To           fleet.VMID   `msgpack:"t"` // intended receiver, since an address may have been reassigned to another VM
	Region       fleet.Region `msgpack:"r"`
	Zone         fleet.Zone   `msgpack:"z"`
	ConnID       uint64       `msgpack:"c"` // increases with each connection of the sending process
	LinkAddr     string       `msgpack:"l"` // address at which the sender accepts links
	OperatorAddr string       `msgpack:"o"` // address of the sender's operator API
}

// Kind returns the message kind.
func (*Hello) Kind() fleet.Kind { return kindHello }

// Heartbeat shows that the sender is alive when it has no other message to send.
type Heartbeat struct{}

// Kind returns the message kind.
func (*Heartbeat) Kind() fleet.Kind { return kindHeartbeat }

// Reason is the reason why a hello was refused.
type Reason uint8

// Reasons of a refusal.
const (
	ReasonVersion          Reason = iota + 1 // other protocol version
	ReasonFleet                              // other fleet
	ReasonRecipient                          // intended for another VM
	ReasonOlderIncarnation                   // a newer incarnation or connection of the sender is known
	ReasonIdentity                           // the certificate does not name the VM
	ReasonMalformed                          // not a hello, or an invalid one
	ReasonTableFull                          // the table of known VMs is full
	ReasonBusy                               // the handler is still processing a message of an earlier connection
)

// String returns the reason's name for logs and metrics.
func (r Reason) String() string {
	names := [...]string{"none", "version", "fleet", "recipient", "older_incarnation", "identity", "form", "full", "busy"}
	if int(r) < len(names) {
		return names[r]
	}
	return "other"
}

// Refusal is the reply to a hello that is not accepted. The connection is closed after it.
type Refusal struct {
	Reason Reason            `msgpack:"r"`
	By     fleet.Member      `msgpack:"b"` // the VM that refused
	Newest fleet.Incarnation `msgpack:"n"` // with ReasonOlderIncarnation: the newest known incarnation, which may be the sender's own
}

// Kind returns the message kind.
func (*Refusal) Kind() fleet.Kind { return kindRefused }

func init() {
	wire.Register(func() fleet.Message { return &Hello{} })
	wire.Register(func() fleet.Message { return &Heartbeat{} })
	wire.Register(func() fleet.Message { return &Refusal{} })
}
