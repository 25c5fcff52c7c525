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

// Hello is the first message of a connection.
type Hello struct {
	Version   int          `msgpack:"p"`
	Fleet     string       `msgpack:"f"`
	From      fleet.Member `msgpack:"m"`
	To        fleet.VMID   `msgpack:"t"` // an address may have passed to another VM
	Region    fleet.Region `msgpack:"r"`
	Zone      fleet.Zone   `msgpack:"z"`
	Conn      uint64       `msgpack:"c"` // rises with each connection of the sender
	Links     string       `msgpack:"l"` // address that the sender can be dialed at
	Operators string       `msgpack:"o"` // address of the sender's operators' API
}

// Kind returns the message's number.
func (*Hello) Kind() fleet.Kind { return kindHello }

// Heartbeat shows that the sender lives while it has nothing to send.
type Heartbeat struct{}

// Kind returns the message's number.
func (*Heartbeat) Kind() fleet.Kind { return kindHeartbeat }

// Reason says why a hello was refused.
type Reason uint8

// Reasons of a refusal.
const (
	ReasonVersion   Reason = iota + 1 // other protocol version
	ReasonFleet                       // other fleet
	ReasonRecipient                   // meant for another VM
	ReasonOlder                       // a newer incarnation or connection of the sender was seen
	ReasonIdentity                    // the certificate does not name the VM
	ReasonForm                        // no hello, or an incomplete one
	ReasonFull                        // too many VMs are known
	ReasonBusy                        // the handler still runs a message of an earlier connection
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	names := [...]string{"none", "version", "fleet", "recipient", "older_incarnation", "identity", "form", "full", "busy"}
	if int(r) < len(names) {
		return names[r]
	}
	return "other"
}

// Refused answers a hello that is not accepted. The connection closes after it.
type Refused struct {
	Reason Reason            `msgpack:"r"`
	By     fleet.Member      `msgpack:"b"`
	Newest fleet.Incarnation `msgpack:"n"` // with ReasonOlder: the newest incarnation seen, which may be the sender's own
}

// Kind returns the message's number.
func (*Refused) Kind() fleet.Kind { return kindRefused }

func init() {
	wire.Register(func() fleet.Message { return &Hello{} })
	wire.Register(func() fleet.Message { return &Heartbeat{} })
	wire.Register(func() fleet.Message { return &Refused{} })
}
