package fleet

// Kind numbers a message type on the wire. Numbers are never reused.
// 100-199 configuration, 200-299 shard ownership, 300-399 keys, 400-499 pools,
// 500-599 membership and journal.
type Kind uint16

// Message is a typed message between entry VMs. Implementations are plain structs
// that msgpack can encode and that are registered with package wire.
type Message interface {
	Kind() Kind
}

// Envelope is a message on its way to a VM. An empty To means the sender's own VM.
type Envelope struct {
	To      VMID
	Message Message
}

// EventKind names what an Event records.
type EventKind string

// Event is one entry of the journal: a decision and the evidence for it.
type Event struct {
	Kind    EventKind         `msgpack:"k" json:"kind"`
	At      int64             `msgpack:"t" json:"at_unix_ns"` // wall clock, filled by the shell
	VM      VMID              `msgpack:"v" json:"vm"`         // filled by the shell
	Service Service           `msgpack:"s,omitempty" json:"service,omitempty"`
	Server  ServerID          `msgpack:"b,omitempty" json:"server,omitempty"`
	Request string            `msgpack:"r,omitempty" json:"request,omitempty"`
	Reason  string            `msgpack:"w" json:"reason"`
	Detail  map[string]string `msgpack:"d,omitempty" json:"detail,omitempty"`
}
