// Package platformapi holds the clients of two services of the hosting platform: the
// append-only log service and the list of VMs. Both use JSON over HTTP.
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
// A read with wait_ms is a long poll: it returns as soon as there is a record at or
// after from, or without records after wait_ms. When from is below base, the records
// start at base. A stream is created by its first append; until then it reads as empty.
//
// VM list:
//
//	GET /v1/vms
//	    response {"generation": number,
//	              "vms":     [{"id", "addr", "region", "zone", "state"}],
//	              "servers": [{"id", "service", "addr", "region", "zone", "state"}]}
//
// The generation increases with each change of the list. State is "live" or "leaving".
//
// Any status other than 200 is a failure with the body {"error": text}. The record of a
// failed append may have been written nevertheless.
package platformapi

import (
	"context"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Offset is the position of a record in its stream, starting at 0.
type Offset int64

// Record is a record of a stream.
type Record struct {
	Offset Offset `json:"offset" msgpack:"o"`
	Data   []byte `json:"data" msgpack:"d"`
	AgeMS  int64  `json:"age_ms,omitempty" msgpack:"-"` // milliseconds since the append, by the service's clock
}

// Batch is the result of a read.
type Batch struct {
	Records      []Record `json:"records"`
	OldestOffset Offset   `json:"base"` // offset of the oldest retained record
	NextOffset   Offset   `json:"next"` // offset of the next append

	// KeepRecords and KeepMS are the stream's retention limits; 0 means no limit. The
	// service may delete a record once either is exceeded.
	KeepRecords int64 `json:"keep_records,omitempty"`
	KeepMS      int64 `json:"keep_ms,omitempty"`
}

// Log is the append-only log service. After an error from Append the record may or may
// not have been written.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns records from an offset on, up to max bytes of data but at least one
	// record. With wait it blocks until there is a record or ctx ends. When from is below
	// OldestOffset, the records start there.
	Read(ctx context.Context, stream string, from Offset, max int, wait bool) (Batch, error)
}

// Lister reads the platform's list of live and leaving VMs and servers.
type Lister interface {
	List(ctx context.Context) (*fleet.Directory, error)
}
