package journal

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// StreamName is the name of the log stream that holds the fleet's events.
const StreamName = "events"

// Limits of the stream. With these, 44 VMs make at most 9 appends/s, a small part of
// the several hundred that the log service can handle.
const (
	MaxBatchBytes  = 256 << 10
	AppendInterval = 5 * time.Second
	// MaxEventsPerKind is the maximum number of events of one kind per second in the stream.
	// If there are more, a uniform sample of this size is kept.
	MaxEventsPerKind = 20
	sampleWindow     = time.Second
	// maxPendingEvents and maxPendingBytes limit the events that are held while the log
	// service is unavailable. With the limit on the number alone they could take 256 MiB,
	// all of a VM's control memory.
	maxPendingEvents = RingSize
	maxPendingBytes  = 16 << 20
	// maxEventBytes limits the encoded size of an event, so that a batch holds several.
	maxEventBytes = 16 << 10
	// batchOverhead is the number of bytes reserved in a batch for its other fields,
	// including the counts of omitted events.
	batchOverhead = 4 << 10
	// maxKinds limits the number of kinds in a sampling window, and so the number of
	// counts in a batch.
	maxKinds = 100
	// maxKindNameBytes is the length to which names of kinds are truncated in the counts
	// of omitted events.
	maxKindNameBytes = 24
)

// Batch is one record in the stream. Sender and Seq identify it, so that readers detect
// duplicates: a batch is appended again if the outcome of the append is unknown.
type Batch struct {
	Sender     fleet.Member         `msgpack:"m"`
	Seq        uint64               `msgpack:"n"`
	AppendedAt int64                `msgpack:"b"` // time of this append in Unix nanoseconds; readers search the stream by it
	Events     []msgpack.RawMessage `msgpack:"e"`
	Omitted    map[string]int       `msgpack:"o,omitempty"` // number of events by kind left out since the previous batch
}

// Batcher samples events and groups them into batches. It is deterministic: callers
// pass the time and the seed determines the sample. It is not safe for concurrent use.
type Batcher struct {
	self   fleet.Member
	random *rand.Rand

	windowEnd fleet.Time
	windows   map[fleet.EventKind]*window
	kinds     []fleet.EventKind // keys of windows, in order of first appearance

	pending      []encodedEvent
	pendingBytes int // total encoded size of pending
	omitted      map[string]int
	seq          uint64
	nextAppend   fleet.Time // earliest time of the next append
	inFlight     *Batch     // batch being appended, not yet confirmed; its events are the first in pending
}

type window struct {
	seen   int
	sample []fleet.Event
}

type encodedEvent struct {
	data []byte
	kind fleet.EventKind
}

// NewBatcher returns a Batcher for one process, which self identifies.
func NewBatcher(self fleet.Member, seed uint64) *Batcher {
	return &Batcher{
		self:    self,
		random:  rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		windows: map[fleet.EventKind]*window{},
		omitted: map[string]int{},
	}
}

// Add adds an event to the current sampling window.
func (b *Batcher) Add(now fleet.Time, e fleet.Event) {
	b.Tick(now)
	w := b.windows[e.Kind]
	if w == nil {
		if len(b.kinds) >= maxKinds {
			b.countOmitted("other", 1)
			return
		}
		w = &window{}
		b.windows[e.Kind] = w
		b.kinds = append(b.kinds, e.Kind)
	}
	w.seen++
	if len(w.sample) < MaxEventsPerKind {
		w.sample = append(w.sample, e)
	} else if i := b.random.IntN(w.seen); i < MaxEventsPerKind {
		w.sample[i] = e // reservoir sampling: each event is kept with equal probability
	}
}

// Tick ends the current sampling window if its time is over.
func (b *Batcher) Tick(now fleet.Time) {
	if now >= b.windowEnd {
		b.endWindow()
		b.windowEnd = now.Add(sampleWindow)
	}
}

func (b *Batcher) endWindow() {
	for _, kind := range b.kinds {
		w := b.windows[kind]
		b.countOmitted(string(kind), w.seen-len(w.sample))
		for _, e := range w.sample {
			b.enqueue(e)
		}
	}
	clear(b.windows)
	b.kinds = b.kinds[:0]
	b.dropOldestPending()
}

// dropOldestPending drops the oldest pending events until the rest is within the limits.
// It keeps those of the batch in flight, which may already be in the stream.
func (b *Batcher) dropOldestPending() {
	first := 0
	if b.inFlight != nil {
		first = len(b.inFlight.Events)
	}
	end := first
	for ; end < len(b.pending) && (len(b.pending)-(end-first) > maxPendingEvents || b.pendingBytes > maxPendingBytes); end++ {
		b.pendingBytes -= len(b.pending[end].data)
		b.countOmitted(string(b.pending[end].kind), 1)
	}
	if end > first {
		b.pending = slices.Delete(b.pending, first, end)
	}
}

// truncateKind returns the name of a kind as used in the counts of omitted events.
func truncateKind(kind string) string { return kind[:min(len(kind), maxKindNameBytes)] }

func (b *Batcher) countOmitted(kind string, n int) {
	if n <= 0 {
		return
	}
	kind = truncateKind(kind)
	if _, known := b.omitted[kind]; !known && len(b.omitted) >= maxKinds {
		kind = "other"
	}
	b.omitted[kind] += n
}

func (b *Batcher) enqueue(e fleet.Event) {
	data, err := msgpack.Marshal(&e)
	if err == nil && len(data) > maxEventBytes {
		e.Detail = map[string]string{"cut": fmt.Sprintf("%d bytes", len(data))}
		data, err = msgpack.Marshal(&e)
	}
	if err != nil || len(data) > maxEventBytes {
		b.countOmitted(string(e.Kind), 1)
		return
	}
	b.pending = append(b.pending, encodedEvent{data, e.Kind})
	b.pendingBytes += len(data)
}

// NextBatch returns the encoded batch to append, or nil if there are no events or no
// append is due yet. Until ConfirmAppend is called, it returns the same batch with a new
// time, so that batches in the stream are ordered by time even after an outage of the
// log service. If flush is set, it ignores AppendInterval and ends the current sampling
// window. wall is in Unix nanoseconds.
func (b *Batcher) NextBatch(now fleet.Time, wall int64, flush bool) ([]byte, error) {
	b.Tick(now)
	if flush {
		b.endWindow()
	}
	if now < b.nextAppend && !flush {
		return nil, nil
	}
	if b.inFlight == nil {
		if len(b.pending) == 0 {
			return nil, nil
		}
		b.buildBatch()
	}
	b.nextAppend = now.Add(AppendInterval)
	b.inFlight.AppendedAt = wall
	data, err := msgpack.Marshal(b.inFlight)
	if err != nil {
		return nil, result.Errorf(result.Internal, "encode events: %v", err)
	}
	return data, nil
}

func (b *Batcher) buildBatch() {
	b.seq++
	batch := &Batch{Sender: b.self, Seq: b.seq, Omitted: b.omitted}
	size := batchOverhead
	for _, p := range b.pending {
		if size+len(p.data) > MaxBatchBytes {
			break
		}
		size += len(p.data)
		batch.Events = append(batch.Events, p.data)
	}
	b.inFlight = batch
	b.omitted = map[string]int{}
}

// ConfirmAppend confirms that the batch that NextBatch returned is in the stream.
func (b *Batcher) ConfirmAppend() {
	if b.inFlight != nil {
		for _, data := range b.inFlight.Events {
			b.pendingBytes -= len(data)
		}
		b.pending = slices.Delete(b.pending, 0, len(b.inFlight.Events))
		b.inFlight = nil
	}
}

// PendingCount returns the number of sampled events that are not yet confirmed to be in
// the stream.
func (b *Batcher) PendingCount() int { return len(b.pending) }

// decodeBatch decodes a record from the stream.
func decodeBatch(data []byte) (*Batch, []fleet.Event, error) {
	var batch Batch
	if err := decode(data, &batch); err != nil {
		return nil, nil, err
	}
	events := make([]fleet.Event, len(batch.Events))
	for i, raw := range batch.Events {
		if err := decode(raw, &events[i]); err != nil {
			return nil, nil, err
		}
	}
	return &batch, events, nil
}

func decode(data []byte, into any) error {
	r := bytes.NewReader(data)
	if err := msgpack.NewDecoder(r).Decode(into); err != nil {
		return err
	}
	if r.Len() > 0 {
		return fmt.Errorf("%d trailing bytes", r.Len())
	}
	return nil
}
