// Package fleet defines the identifiers, the VM and server directory and the message
// envelopes that all modules of fulmarbeam share.
package fleet

import (
	"fmt"
	"time"
)

// Time is a monotonic time in nanoseconds since an origin chosen by the process. Times
// of different processes must not be compared.
type Time int64

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// VMID is the ID of an entry VM on the platform's list.
type VMID string

// Incarnation distinguishes successive processes on one VM. It is the process's start
// time in Unix nanoseconds; a larger value is newer.
type Incarnation uint64

// ServerID is the ID of a backend server on the platform's list.
type ServerID string

// Service, Region and Zone are names from the configuration document and the
// platform's list. A Zone is an availability zone.
type (
	Service string
	Region  string
	Zone    string
)

// Member identifies one process of an entry VM. The zero value identifies none.
type Member struct {
	VM          VMID        `msgpack:"v"`
	Incarnation Incarnation `msgpack:"i"`
}

// IsZero reports whether m identifies no process.
func (m Member) IsZero() bool { return m == Member{} }

// String returns the member as "vm/incarnation".
func (m Member) String() string { return fmt.Sprintf("%s/%d", m.VM, m.Incarnation) }

// PoolID identifies a pool: the servers of one service in one region.
type PoolID struct {
	Service Service `msgpack:"s"`
	Region  Region  `msgpack:"r"`
}

// String returns the pool as "service@region".
func (p PoolID) String() string { return string(p.Service) + "@" + string(p.Region) }

// State is the state of a VM or server on the platform's list.
type State uint8

// States on the platform's list.
const (
	StateLive State = iota + 1
	StateLeaving
)

// String returns the state's name on the list.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateLeaving:
		return "leaving"
	}
	return "unknown"
}

// VM is an entry VM on the platform's list.
type VM struct {
	ID     VMID
	Addr   string // host:port of its link listener
	Region Region
	Zone   Zone
	State  State
}

// Server is a backend server on the platform's list.
type Server struct {
	ID      ServerID
	Service Service
	Addr    string // host:port for HTTP
	Region  Region
	Zone    Zone
	State   State
}

// Pool returns the pool that the server belongs to.
func (s Server) Pool() PoolID { return PoolID{Service: s.Service, Region: s.Region} }
