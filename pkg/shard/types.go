// Package shard decides which VM owns each unit of authority and which VM holds
// its copy, as section 4 of docs/design.md describes.
package shard

import (
	"errors"
	"fmt"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Class tells the two uses of shards apart.
type Class uint8

// Classes of shards.
const (
	ClassPool Class = iota + 1
	ClassKeys
)

// ID names a shard: a pool (Region, Service) or a key shard (Region, Slice).
type ID struct {
	Class   Class         `msgpack:"c"`
	Region  fleet.Region  `msgpack:"r"`
	Service fleet.Service `msgpack:"s,omitempty"`
	Slice   int           `msgpack:"n,omitempty"`
}

// PoolShard returns the shard of a pool.
func PoolShard(p fleet.PoolID) ID { return ID{Class: ClassPool, Region: p.Region, Service: p.Service} }

// KeyShard returns the n-th key shard of a region.
func KeyShard(region fleet.Region, slice int) ID {
	return ID{Class: ClassKeys, Region: region, Slice: slice}
}

// String returns the shard's name as logs and rendezvous hashing use it.
func (id ID) String() string {
	if id.Class == ClassPool {
		return fmt.Sprintf("pool/%s/%s", id.Region, id.Service)
	}
	return fmt.Sprintf("keys/%s/%d", id.Region, id.Slice)
}

// View is the membership of a shard. Copy is zero while the owner is alone.
type View struct {
	Shard   ID           `msgpack:"s"`
	Version uint64       `msgpack:"v"`
	Owner   fleet.Member `msgpack:"o"`
	Copy    fleet.Member `msgpack:"c"`
}

// Role is this process's part in a shard.
type Role uint8

// Roles. Only an active member of the current version has a role other than RoleNone.
const (
	RoleNone Role = iota
	RoleOwner
	RoleCopy
)

// Authority answers who owns a shard. Manager implements it.
type Authority interface {
	// View returns the newest view known here.
	View(id ID) (View, bool)
	// Role returns this process's active role and the version it holds for.
	Role(id ID) (Role, uint64)
}

// Replica is the state that a shard carries. Manager calls it during transitions.
type Replica interface {
	// Export returns the whole state of the shard for a new copy.
	Export(id ID) ([]byte, error)
	// Import replaces the state of the shard.
	Import(id ID, state []byte) error
	// Lost starts the shard with empty state because no member of it is left.
	Lost(id ID, now fleet.Time)
	// Changed reports a new role or version of this process.
	Changed(id ID, now fleet.Time, role Role, view View)
	// Dropped discards the state: this process is no longer a member.
	Dropped(id ID)
}

// ErrNoHistory is returned by Replica.Export when the shard has admitted nothing
// yet, so that its state must not be copied and need not be kept.
var ErrNoHistory = errors.New("shard: no history to export yet")

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleOwner:
		return "owner"
	case RoleCopy:
		return "copy"
	}
	return "none"
}
