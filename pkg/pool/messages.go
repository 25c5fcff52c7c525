package pool

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Kinds of the messages of this package.
const (
	KindSync         fleet.Kind = 400
	KindState        fleet.Kind = 401
	KindRedirect     fleet.Kind = 402
	KindReplicate    fleet.Kind = 403
	KindReplicateAck fleet.Kind = 404
)

// Messages name servers by the low 32 bits of the hash of their ID: two VMs may
// have read different lists, so positions in a list are not safe.

// Held is what a client holds of one server's slots.
type Held struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Ref      uint32
	Total    int // credits held or in use
	Long     int // of these, credits that long work may use or uses
	Used     int
	UsedLong int
}

// Evidence counts outcomes of requests of one route on one server since the last sync.
type Evidence struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Ref         uint32
	Route       uint32
	OK          int // success within the slowness threshold
	Late        int // success after the slowness threshold
	Failed      int
	Slow        int // passed the slowness threshold, whatever the end
	Unreachable int
	Shed        int
	Trial       bool
}

// Demand counts queued work of one admission class.
type Demand struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Class    int
	Count    int
	Long     int // of Count
}

// RouteStat is a learned duration of a route.
type RouteStat struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Route    uint32
	Samples  int
	Median   uint32 // microseconds
	Mean     uint32 // microseconds
	P90      uint32 // microseconds
}

// Sync is sent by a client to the coordinator of a pool.
type Sync struct {
	Pool    fleet.PoolID `msgpack:"p"`
	Epoch   uint64       `msgpack:"e"` // epoch of the coordinator that Ack belongs to
	Ack     uint64       `msgpack:"a"` // highest State.Seq applied
	Seq     uint64       `msgpack:"n"`
	Away    bool         `msgpack:"w,omitempty"` // the client lost this coordinator and uses its allotment or the copy
	Held    []Held       `msgpack:"h,omitempty"`
	Counts  []Evidence   `msgpack:"c,omitempty"`
	Queue   []Demand     `msgpack:"q,omitempty"`
	Spare   int          `msgpack:"s,omitempty"` // idle credits wanted beyond those held
	Trials  bool         `msgpack:"t,omitempty"` // has had idempotent work lately
	Routes  []RouteStat  `msgpack:"r,omitempty"`
	Drain   []uint32     `msgpack:"d,omitempty"` // servers that answered that they leave
	Horizon uint32       `msgpack:"z,omitempty"` // milliseconds until the last deadline of work in flight
}

// Kind returns the message's number.
func (*Sync) Kind() fleet.Kind { return KindSync }

// Grant is what a client may hold of one server's slots.
type Grant struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Ref      uint32
	Total    int
	Long     int
	Trial    bool // one credit, for idempotent work on an ejected server
}

// State is the coordinator's answer to a Sync; it is also sent unasked. It always
// holds all grants of the client.
type State struct {
	Pool    fleet.PoolID `msgpack:"p"`
	Version uint64       `msgpack:"v"`
	Epoch   uint64       `msgpack:"e"`
	Seq     uint64       `msgpack:"n"`
	Echo    uint64       `msgpack:"k"`           // Seq of the newest Sync seen; leases count from its sending
	Copy    bool         `msgpack:"o,omitempty"` // sent by the copy, which has no say about ejections
	Grants  []Grant      `msgpack:"g,omitempty"`
	Ejected []uint32     `msgpack:"x,omitempty"`
	Drain   []uint32     `msgpack:"d,omitempty"`
	Cutoff  int          `msgpack:"c,omitempty"`
	Used    int          `msgpack:"u,omitempty"` // percent of the pool's slots in use
	Routes  []RouteStat  `msgpack:"r,omitempty"`
}

// Kind returns the message's number.
func (*State) Kind() fleet.Kind { return KindState }

// Redirect tells a client who coordinates the pool.
type Redirect struct {
	Pool    fleet.PoolID `msgpack:"p"`
	Version uint64       `msgpack:"v"`
	Owner   fleet.Member `msgpack:"o"`
	Copy    fleet.Member `msgpack:"c"`
}

// Kind returns the message's number.
func (*Redirect) Kind() fleet.Kind { return KindRedirect }

// EjectionRecord is an entry of the ejected set as owner, copy and a new copy
// exchange it. Times are ages, since clocks of two processes are not comparable.
type EjectionRecord struct {
	Server  fleet.ServerID `msgpack:"s"`
	Phase   uint8          `msgpack:"p"`
	Age     int64          `msgpack:"a"` // milliseconds since the phase began
	History []int64        `msgpack:"h"` // milliseconds since each recent ejection
	Score   float64        `msgpack:"c"`
	Cause   string         `msgpack:"w"`
}

// EjectionState is the state of a pool's shard.
type EjectionState struct {
	Wait int64            `msgpack:"w,omitempty"` // milliseconds until the first ejection after lost history
	Set  []EjectionRecord `msgpack:"s,omitempty"`
}

// Replicate carries the owner's ejected set to the copy.
type Replicate struct {
	Pool    fleet.PoolID  `msgpack:"p"`
	Version uint64        `msgpack:"v"`
	Seq     uint64        `msgpack:"n"`
	State   EjectionState `msgpack:"s"`
}

// Kind returns the message's number.
func (*Replicate) Kind() fleet.Kind { return KindReplicate }

// ReplicateAck accepts a Replicate.
type ReplicateAck struct {
	Pool    fleet.PoolID `msgpack:"p"`
	Version uint64       `msgpack:"v"`
	Seq     uint64       `msgpack:"n"`
}

// Kind returns the message's number.
func (*ReplicateAck) Kind() fleet.Kind { return KindReplicateAck }

func init() {
	wire.Register(func() fleet.Message { return &Sync{} })
	wire.Register(func() fleet.Message { return &State{} })
	wire.Register(func() fleet.Message { return &Redirect{} })
	wire.Register(func() fleet.Message { return &Replicate{} })
	wire.Register(func() fleet.Message { return &ReplicateAck{} })
}
