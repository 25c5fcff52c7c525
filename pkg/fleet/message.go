package fleet

// Kind is the number of a message type on the wire. Numbers are never reused.
// 100-199 configuration, 200-299 shard ownership, 300-399 keys, 400-499 pools,
// 500-599 links, 600-699 mesh.
type Kind uint16

// Message is a typed message between entry VMs. Implementations are structs that msgpack
// can encode and that are registered with package wire.
type Message interface {
	Kind() Kind
}

// Envelope is an outgoing message with its destination. An empty To means the sender's own
// VM.
type Envelope struct {
	To      VMID
	Message Message
}

// EventKind is the kind of an Event.
type EventKind string

// Event is a journal entry: a decision and the evidence for it.
type Event struct {
	Kind    EventKind         `msgpack:"k" json:"kind"`
	At      int64             `msgpack:"t" json:"at_unix_ns"` // wall clock; set when the event is recorded
	VM      VMID              `msgpack:"v" json:"vm"`         // set when the event is recorded
	Service Service           `msgpack:"s,omitempty" json:"service,omitempty"`
	Server  ServerID          `msgpack:"b,omitempty" json:"server,omitempty"`
	Request string            `msgpack:"r,omitempty" json:"request,omitempty"`
	Reason  string            `msgpack:"w" json:"reason"`
	Detail  map[string]string `msgpack:"d,omitempty" json:"detail,omitempty"`
}
