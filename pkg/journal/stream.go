package journal

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

const (
	// maxClockSkew is the difference between wall clocks of VMs that the search for a
	// time in the stream tolerates.
	maxClockSkew = time.Minute
	// readChunkBytes is the number of bytes requested per read of the stream.
	readChunkBytes = 1 << 20
	// MaxStreamBytes limits the number of bytes that one query reads from the stream.
	MaxStreamBytes = 64 << 20
)

// StreamResult is the result of a query of the stream.
type StreamResult struct {
	Events    []fleet.Event  `json:"events"`
	Omitted   map[string]int `json:"omitted,omitempty"`   // number of events by kind that sampling left out of the batches read
	Malformed int            `json:"malformed,omitempty"` // number of records that could not be decoded
	Partial   bool           `json:"partial,omitempty"`   // MaxStreamBytes was reached before the end of the stream
}

type batchID struct {
	sender fleet.Member
	seq    uint64
}

// ReadStream returns the events in the stream that match the query. If the log service
// fails, the error has the code StoreAway.
func ReadStream(ctx context.Context, log platformapi.Log, q Query) (StreamResult, error) {
	out := StreamResult{Omitted: map[string]int{}}
	from, err := findStart(ctx, log, q.From)
	if err != nil {
		return out, result.Errorf(result.StoreAway, "read log stream events: %v", err)
	}
	seen := map[batchID]bool{}
	bytesRead := 0
	for {
		batch, err := log.Read(ctx, StreamName, from, readChunkBytes, false)
		if err != nil {
			return out, result.Errorf(result.StoreAway, "read log stream events: %v", err)
		}
		pastEnd := false
		for _, record := range batch.Records {
			bytesRead += len(record.Data)
			from = record.Offset + 1
			pastEnd = out.addRecord(record, q, seen)
		}
		out.Partial = bytesRead >= MaxStreamBytes && from < batch.NextOffset
		if len(batch.Records) == 0 || from >= batch.NextOffset || pastEnd || out.Partial {
			break
		}
	}
	out.Events = Merge(q.Limit, out.Events)
	return out, nil
}

// addRecord adds the matching events of a record. It returns true if the record is so
// much later than the query's end that later records are not read.
func (r *StreamResult) addRecord(record platformapi.Record, q Query, seen map[batchID]bool) bool {
	batch, events, err := decodeBatch(record.Data)
	if err != nil {
		r.Malformed++
		return false
	}
	id := batchID{batch.Sender, batch.Seq}
	if seen[id] {
		return false
	}
	seen[id] = true
	for kind, n := range batch.Omitted {
		if q.Kind == "" || truncateKind(string(q.Kind)) == kind {
			r.Omitted[kind] += n
		}
	}
	for _, e := range events {
		if q.Matches(e) {
			r.Events = append(r.Events, e)
		}
	}
	if q.Limit > 0 && len(r.Events) > 2*q.Limit {
		r.Events = slices.Clone(Merge(q.Limit, r.Events))
	}
	return q.To > 0 && batch.AppendedAt > q.To+maxAppendDelay.Nanoseconds()
}

// maxAppendDelay is how far a query reads beyond its end, because events are appended
// later than they occur. Events that were held longer during an outage of the log service
// are found only by a query without an end.
const maxAppendDelay = 10 * time.Minute

// findStart returns an offset such that no earlier record has events of the given time
// or later. It uses binary search: an event is never newer than its batch, and batches
// are ordered by time except for clock skew.
func findStart(ctx context.Context, log platformapi.Log, unixNano int64) (platformapi.Offset, error) {
	first, err := log.Read(ctx, StreamName, 0, 1, false)
	if err != nil || unixNano <= 0 {
		return 0, err
	}
	low, high := first.OldestOffset, first.NextOffset // the result is in [low, high]
	for low < high {
		middle := low + (high-low)/2
		batch, err := log.Read(ctx, StreamName, middle, 1, false)
		if err != nil {
			return 0, err
		}
		if len(batch.Records) == 0 {
			return low, nil
		}
		decoded, _, err := decodeBatch(batch.Records[0].Data)
		if err == nil && decoded.AppendedAt < unixNano-maxClockSkew.Nanoseconds() {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, nil
}
