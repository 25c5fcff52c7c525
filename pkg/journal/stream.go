package journal

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

const (
	// clockSlack covers wall clocks of VMs that differ when the place of a time in the
	// stream is searched.
	clockSlack = time.Minute
	// readBytes is what one read of the stream asks for.
	readBytes = 1 << 20
	// MaxStreamBytes bounds what one query reads of the stream.
	MaxStreamBytes = 64 << 20
)

// Reading is what a query found in the stream.
type Reading struct {
	Events    []fleet.Event  `json:"events"`
	Omitted   map[string]int `json:"omitted,omitempty"`   // left out by sampling, by kind, in the batches read
	Malformed int            `json:"malformed,omitempty"` // records that cannot be decoded
	Partial   bool           `json:"partial,omitempty"`   // the bound was reached before the end
}

type batchID struct {
	sender fleet.Member
	seq    uint64
}

// ReadStream returns the events of the stream that the query selects. A failure of
// the log service gives an error with the code StoreAway.
func ReadStream(ctx context.Context, log platform.Log, q Query) (Reading, error) {
	reading := Reading{Omitted: map[string]int{}}
	from, err := findStart(ctx, log, q.From)
	if err != nil {
		return reading, result.Errorf(result.StoreAway, "events: %v", err)
	}
	seen := map[batchID]bool{}
	total := 0
	for {
		batch, err := log.Read(ctx, Stream, from, readBytes, false)
		if err != nil {
			return reading, result.Errorf(result.StoreAway, "events: %v", err)
		}
		ended := false
		for _, record := range batch.Records {
			total += len(record.Data)
			from = record.Offset + 1
			ended = reading.add(record, q, seen)
		}
		reading.Partial = total >= MaxStreamBytes && from < batch.Next
		if len(batch.Records) == 0 || from >= batch.Next || ended || reading.Partial {
			break
		}
	}
	reading.Events = Merge(q.Limit, reading.Events)
	return reading, nil
}

// add takes the selected events of a record. It reports whether the record lies so
// far behind the query's end that no later one can match.
func (r *Reading) add(record platform.Record, q Query, seen map[batchID]bool) bool {
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
		if q.Kind == "" || shortKind(string(q.Kind)) == kind {
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
	return q.To > 0 && batch.Built > q.To+maxWait.Nanoseconds()
}

// maxWait is how long after a query's end its events are looked for. Events that
// waited longer, while the log service was away, are found by a query without an end.
const maxWait = 10 * time.Minute

// findStart returns an offset before which no record has events of that time, by
// binary search. An event is never newer than its batch, and batches are nearly in
// the order of their times.
func findStart(ctx context.Context, log platform.Log, unixNano int64) (platform.Offset, error) {
	first, err := log.Read(ctx, Stream, 0, 1, false)
	if err != nil || unixNano <= 0 {
		return 0, err
	}
	low, high := first.Base, first.Next // the answer is in [low, high]
	for low < high {
		middle := low + (high-low)/2
		batch, err := log.Read(ctx, Stream, middle, 1, false)
		if err != nil {
			return 0, err
		}
		if len(batch.Records) == 0 {
			return low, nil
		}
		decoded, _, err := decodeBatch(batch.Records[0].Data)
		if err == nil && decoded.Built < unixNano-clockSlack.Nanoseconds() {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, nil
}
