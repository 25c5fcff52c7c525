package pool

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// Message kinds of this package.
const (
	KindSync         fleet.Kind = 400
	KindState        fleet.Kind = 401
	KindRedirect     fleet.Kind = 402
	KindReplicate    fleet.Kind = 403
	KindReplicateAck fleet.Kind = 404
)

// Messages identify servers by the low 32 bits of a hash of their ID. Positions in the
// server list are not safe, because two VMs may have read different lists.

// HeldCredits reports the credits that a client holds on one server.
type HeldCredits struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Ref      uint32
	Total    int // credits granted or in use
	Long     int // credits of Total that long work may use or uses
	Used     int
	UsedLong int
}

// Evidence counts the outcomes of requests of one route on one server since the last sync.
type Evidence struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Ref         uint32
	Route       uint32
	OK          int // success within the slowness threshold
	Late        int // success after the slowness threshold
	Failed      int
	Slow        int // exceeded the slowness threshold, regardless of the outcome
	Unreachable int
	Shed        int
	Trial       bool
}

// Demand counts the queued work of one admission class.
type Demand struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Class    int
	Count    int
	Long     int // pieces of long work in Count
}

// RouteStat holds measured durations of a route.
type RouteStat struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Route    uint32
	Samples  int
	MedianUS uint32
	MeanUS   uint32
	P90US    uint32
}

// Sync is sent by a client to the coordinator of a pool.
type Sync struct {
	Pool            fleet.PoolID  `msgpack:"p"`
	Epoch           uint64        `msgpack:"e"` // coordinator epoch that Ack refers to
	Ack             uint64        `msgpack:"a"` // highest State.Seq applied
	Seq             uint64        `msgpack:"n"`
	OnFallback      bool          `msgpack:"w,omitempty"` // the client could not reach this coordinator and uses the copy or its static share
	Held            []HeldCredits `msgpack:"h,omitempty"`
	Evidence        []Evidence    `msgpack:"c,omitempty"`
	Demand          []Demand      `msgpack:"q,omitempty"`
	WantedSpare     int           `msgpack:"s,omitempty"` // idle credits wanted in addition to those held
	AcceptsTrials   bool          `msgpack:"t,omitempty"` // the client recently had idempotent work
	Routes          []RouteStat   `msgpack:"r,omitempty"`
	DrainingServers []uint32      `msgpack:"d,omitempty"` // servers that reported draining
	MaxDeadlineMS   uint32        `msgpack:"z,omitempty"` // milliseconds until the latest deadline of in-flight work
}

// Kind returns the message kind.
func (*Sync) Kind() fleet.Kind { return KindSync }

// Grant sets the credits that a client may hold on one server.
type Grant struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Ref      uint32
	Total    int
	Long     int
	Trial    bool // a single credit for idempotent work on an ejected server
}

// State is the coordinator's reply to a Sync; it is also sent unsolicited. It always
// contains all grants of the client.
type State struct {
	Pool            fleet.PoolID `msgpack:"p"`
	Version         uint64       `msgpack:"v"`
	Epoch           uint64       `msgpack:"e"`
	Seq             uint64       `msgpack:"n"`
	SyncSeq         uint64       `msgpack:"k"`           // Seq of the newest Sync received; leases start when that Sync was sent
	Copy            bool         `msgpack:"o,omitempty"` // sent by the copy, which does not decide about ejections
	Grants          []Grant      `msgpack:"g,omitempty"`
	Ejected         []uint32     `msgpack:"x,omitempty"`
	DrainingServers []uint32     `msgpack:"d,omitempty"`
	Cutoff          int          `msgpack:"c,omitempty"` // lowest admission class that the client dispatches
	UsedPercent     int          `msgpack:"u,omitempty"` // of the pool's slots
	Routes          []RouteStat  `msgpack:"r,omitempty"`
	GrantDelayMS    int          `msgpack:"w,omitempty"` // milliseconds until a new coordinator grants slots that no client has reported
}

// Kind returns the message kind.
func (*State) Kind() fleet.Kind { return KindState }

// Redirect informs a client or a former owner of the current owner and copy of the pool.
type Redirect struct {
	Pool    fleet.PoolID `msgpack:"p"`
	Version uint64       `msgpack:"v"`
	Owner   fleet.Member `msgpack:"o"`
	Copy    fleet.Member `msgpack:"c"`
}

// Kind returns the message kind.
func (*Redirect) Kind() fleet.Kind { return KindRedirect }

// EjectionRecord is the serialized form of an entry of the ejected set. Times are sent as
// ages, since the clocks of two processes are not comparable.
type EjectionRecord struct {
	Server    fleet.ServerID `msgpack:"s"`
	Phase     uint8          `msgpack:"p"`
	AgeMS     int64          `msgpack:"a"` // since the phase began
	HistoryMS []int64        `msgpack:"h"` // since each recent ejection
	Score     float64        `msgpack:"c"`
	Cause     string         `msgpack:"w"`
}

// EjectionState is the replicated state of a pool's shard.
type EjectionState struct {
	EjectDelayMS int64            `msgpack:"w,omitempty"` // milliseconds until ejections are allowed after the state was lost
	Ejections    []EjectionRecord `msgpack:"s,omitempty"`
}

// Replicate carries the owner's ejected set to the copy.
type Replicate struct {
	Pool    fleet.PoolID  `msgpack:"p"`
	Version uint64        `msgpack:"v"`
	Seq     uint64        `msgpack:"n"`
	State   EjectionState `msgpack:"s"`
}

// Kind returns the message kind.
func (*Replicate) Kind() fleet.Kind { return KindReplicate }

// ReplicateAck acknowledges a Replicate.
type ReplicateAck struct {
	Pool    fleet.PoolID `msgpack:"p"`
	Version uint64       `msgpack:"v"`
	Seq     uint64       `msgpack:"n"`
}

// Kind returns the message kind.
func (*ReplicateAck) Kind() fleet.Kind { return KindReplicateAck }

func init() {
	wire.Register(func() fleet.Message { return &Sync{} })
	wire.Register(func() fleet.Message { return &State{} })
	wire.Register(func() fleet.Message { return &Redirect{} })
	wire.Register(func() fleet.Message { return &Replicate{} })
	wire.Register(func() fleet.Message { return &ReplicateAck{} })
}
