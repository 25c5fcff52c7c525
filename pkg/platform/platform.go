// Package platform holds the clients of the platform's services: the append-only
// log service and the list of VMs. Both speak JSON over HTTP.
//
// Log service:
//
//	POST /v1/streams/{stream}/records
//	    request  {"data": base64}
//	    response {"offset": number}
//	GET /v1/streams/{stream}/records?from=N&max=BYTES&wait_ms=MS
//	    response {"records": [{"offset", "data", "age_ms"}], "base", "next",
//	              "keep_records", "keep_ms"}
//
// A read with wait_ms answers as soon as there is a record at or after from, and
// with no records when the time has passed. When from is below base, the records
// start at base. A stream exists from its first append; before it is empty.
//
// VM list:
//
//	GET /v1/vms
//	    response {"generation": number,
//	              "vms":     [{"id", "addr", "region", "zone", "state"}],
//	              "servers": [{"id", "service", "addr", "region", "zone", "state"}]}
//
// The generation rises with each change of the list. State is "live" or "leaving".
//
// Any status other than 200 is a failure with the body {"error": text}. A failed
// append may have been written.
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
	AgeMS  int64  `json:"age_ms,omitempty" msgpack:"-"` // milliseconds since the append, by the service's clock
}

// Batch is a reading of a stream.
type Batch struct {
	Records []Record `json:"records"`
	Base    Offset   `json:"base"` // offset of the oldest kept record
	Next    Offset   `json:"next"` // offset that the next append will get

	// KeepRecords and KeepMS are the stream's retention; 0 means no limit. The
	// service may drop a record once either is exceeded.
	KeepRecords int64 `json:"keep_records,omitempty"`
	KeepMS      int64 `json:"keep_ms,omitempty"`
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
