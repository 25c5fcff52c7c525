// Package shard assigns an owner VM and a copy VM to each shard: a pool or a slice
// of the idempotency keys of a region. Section 4 of docs/design.md describes the protocol.
package shard

import (
	"errors"
	"fmt"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Class is the kind of state that a shard carries.
type Class uint8

// Shard classes.
const (
	ClassPool Class = iota + 1
	ClassKeys
)

// ID identifies a shard: a pool (Region, Service) or a key shard (Region, Slice).
type ID struct {
	Class   Class         `msgpack:"c"`
	Region  fleet.Region  `msgpack:"r"`
	Service fleet.Service `msgpack:"s,omitempty"`
	Slice   int           `msgpack:"n,omitempty"`
}

// PoolShard returns the ID of a pool's shard.
func PoolShard(p fleet.PoolID) ID { return ID{Class: ClassPool, Region: p.Region, Service: p.Service} }

// KeyShard returns the ID of a region's key shard with the given index.
func KeyShard(region fleet.Region, slice int) ID {
	return ID{Class: ClassKeys, Region: region, Slice: slice}
}

// String returns the shard's name. It appears in logs and is an input of rendezvous hashing.
func (id ID) String() string {
	if id.Class == ClassPool {
		return fmt.Sprintf("pool/%s/%s", id.Region, id.Service)
	}
	return fmt.Sprintf("keys/%s/%d", id.Region, id.Slice)
}

// View is one version of a shard's membership. Copy is zero while the owner is the only member.
type View struct {
	Shard   ID           `msgpack:"s"`
	Version uint64       `msgpack:"v"`
	Owner   fleet.Member `msgpack:"o"`
	Copy    fleet.Member `msgpack:"c"`
}

// Role is the role of this process in a shard.
type Role uint8

// Roles. Only an active member of the current view has a role other than RoleNone.
const (
	RoleNone Role = iota
	RoleOwner
	RoleCopy
)

// Authority reports who owns a shard. Manager implements it.
type Authority interface {
	// View returns the newest view known to this process.
	View(id ID) (View, bool)
	// Role returns this process's active role and the version of the view that grants it.
	Role(id ID) (Role, uint64)
}

// Replica stores the state of shards. Manager calls it when membership changes.
type Replica interface {
	// Export serializes the state of the shard for a new copy. It returns ErrNoHistory
	// while there is no state that may be copied.
	Export(id ID) ([]byte, error)
	// Import replaces the state of the shard with an exported one.
	Import(id ID, state []byte) error
	// Reset replaces the state of the shard with an empty one, because all its earlier
	// members are gone.
	Reset(id ID, now fleet.Time)
	// RoleChanged reports that this process has a new role, or the same role in a new view.
	RoleChanged(id ID, now fleet.Time, role Role, view View)
	// Discard deletes the state of the shard, because this process is no longer a member.
	Discard(id ID)
}

// ErrNoHistory is returned by Replica.Export while it is unknown whether the shard
// was used before. Such a shard has admitted nothing, so its state must not be
// copied and may be discarded.
var ErrNoHistory = errors.New("shard: no history to export yet")

// String implements fmt.Stringer.
func (r Role) String() string {
	switch r {
	case RoleOwner:
		return "owner"
	case RoleCopy:
		return "copy"
	}
	return "none"
}
