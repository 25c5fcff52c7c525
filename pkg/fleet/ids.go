// Package fleet holds the identifiers, tables and envelopes that all modules of
// fulmarbeam share. It has no behaviour of its own beyond small look-ups.
package fleet

import (
	"fmt"
	"time"
)

// Time is a monotonic instant in nanoseconds since an origin that is private to
// the process. Instants of different processes must not be compared.
type Time int64

// Add returns t moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// VMID names an entry VM as the platform's list does.
type VMID string

// Incarnation tells apart the processes that ran on one VM one after another.
// It is the process's start time in Unix nanoseconds; a larger one is newer.
type Incarnation uint64

// ServerID names a backend server as the platform's list does.
type ServerID string

// Service, Region and Zone are names from the configuration document and the
// platform's list. A Zone is an availability zone.
type (
	Service string
	Region  string
	Zone    string
)

// Member is one process of an entry VM. The zero value means "none".
type Member struct {
	VM          VMID        `msgpack:"v"`
	Incarnation Incarnation `msgpack:"i"`
}

// IsZero reports whether m names no process.
func (m Member) IsZero() bool { return m == Member{} }

// String returns the member as "vm/incarnation".
func (m Member) String() string { return fmt.Sprintf("%s/%d", m.VM, m.Incarnation) }

// PoolID names the servers of one service in one region.
type PoolID struct {
	Service Service `msgpack:"s"`
	Region  Region  `msgpack:"r"`
}

// String returns the pool as "service@region".
func (p PoolID) String() string { return string(p.Service) + "@" + string(p.Region) }

// State is a VM's or server's state on the platform's list.
type State uint8

// States of the platform's list.
const (
	StateLive State = iota + 1
	StateLeaving
)

// String returns the state's name as the list spells it.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateLeaving:
		return "leaving"
	}
	return "unknown"
}

// VM is a row of the table of entry VMs.
type VM struct {
	ID     VMID
	Addr   string // host:port of its link listener
	Region Region
	Zone   Zone
	State  State
}

// Server is a row of the table of backend servers.
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
