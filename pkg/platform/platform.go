// Package platform holds the clients of the platform's services: the append-only
// log service and the list of VMs.
package platform

import (
	"context"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Offset numbers the records of a stream from 0.
type Offset int64

// Record is a record of a stream.
type Record struct {
	Offset Offset `json:"offset" msgpack:"o"`
	Data   []byte `json:"data" msgpack:"d"`
}

// Batch is a reading of a stream.
type Batch struct {
	Records []Record `json:"records"`
	Base    Offset   `json:"base"` // offset of the oldest kept record
	Next    Offset   `json:"next"` // offset that the next append will get
}

// Log is the append-only log service. An error from Append does not say whether
// the record was written.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns records from an offset on, at most max bytes of them (at least
	// one record). With wait it returns once there is a record or ctx ends. When
	// from is below the base, the records start at the base.
	Read(ctx context.Context, stream string, from Offset, max int, wait bool) (Batch, error)
}

// Lister reads the platform's list of live and leaving VMs.
type Lister interface {
	List(ctx context.Context) (*fleet.Directory, error)
}
