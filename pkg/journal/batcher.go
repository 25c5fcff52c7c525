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

// Stream is the log stream that the fleet keeps its events in.
const Stream = "events"

// Limits of the stream: 44 VMs make at most 9 appends/s of it, a small part of the
// several hundred that the log service takes.
const (
	MaxBatchBytes  = 256 << 10
	AppendInterval = 5 * time.Second
	// KindRate is how many events of one kind a second are kept for the stream. Of
	// more, a uniform sample of this size is kept.
	KindRate     = 20
	sampleWindow = time.Second
	// maxPending and maxPendingBytes bound the events that wait while the log service
	// is away. By count alone they could take 256 MiB, all of a VM's control memory.
	maxPending      = RingSize
	maxPendingBytes = 16 << 20
	// maxEventBytes bounds one event, so that a batch holds several.
	maxEventBytes = 16 << 10
	// batchOverhead covers a batch's own fields and the counts of omitted events.
	batchOverhead = 4 << 10
	// maxKinds bounds the kinds of one window, and so the counts in a batch.
	maxKinds = 100
	// maxKindName bounds what of a kind's name the counts repeat.
	maxKindName = 24
)

// Batch is one record of the stream. Sender and Seq identify it: a batch whose
// append had no answer is appended again.
type Batch struct {
	Sender  fleet.Member         `msgpack:"m"`
	Seq     uint64               `msgpack:"n"`
	Built   int64                `msgpack:"b"` // Unix nanoseconds of this append; places the batch in time
	Events  []msgpack.RawMessage `msgpack:"e"`
	Omitted map[string]int       `msgpack:"o,omitempty"` // by kind, since the batch before
}

// Batcher samples events and packs them into batches. It is deterministic: time is
// passed in and the seed fixes the sample. It is not safe for concurrent use.
type Batcher struct {
	self   fleet.Member
	random *rand.Rand

	windowEnd fleet.Time
	windows   map[fleet.EventKind]*window
	kinds     []fleet.EventKind // of windows, in order of appearance

	pending []packed
	bytes   int // of pending
	omitted map[string]int
	seq     uint64
	nextAt  fleet.Time // no append before this instant
	sent    *Batch     // not known to be in the stream yet
}

type window struct {
	seen   int
	sample []fleet.Event
}

type packed struct {
	data []byte
	kind fleet.EventKind
}

// NewBatcher returns a batcher for one process.
func NewBatcher(self fleet.Member, seed uint64) *Batcher {
	return &Batcher{
		self:    self,
		random:  rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		windows: map[fleet.EventKind]*window{},
		omitted: map[string]int{},
	}
}

// Add offers an event to the sample of the current second.
func (b *Batcher) Add(now fleet.Time, e fleet.Event) {
	b.Tick(now)
	w := b.windows[e.Kind]
	if w == nil {
		if len(b.kinds) >= maxKinds {
			b.omit("other", 1)
			return
		}
		w = &window{}
		b.windows[e.Kind] = w
		b.kinds = append(b.kinds, e.Kind)
	}
	w.seen++
	if len(w.sample) < KindRate {
		w.sample = append(w.sample, e)
	} else if i := b.random.IntN(w.seen); i < KindRate {
		w.sample[i] = e // reservoir sampling: each event is kept with the same chance
	}
}

// Tick ends the current second's sample once the second is over.
func (b *Batcher) Tick(now fleet.Time) {
	if now >= b.windowEnd {
		b.closeWindow()
		b.windowEnd = now.Add(sampleWindow)
	}
}

func (b *Batcher) closeWindow() {
	for _, kind := range b.kinds {
		w := b.windows[kind]
		b.omit(string(kind), w.seen-len(w.sample))
		for _, e := range w.sample {
			b.pack(e)
		}
	}
	clear(b.windows)
	b.kinds = b.kinds[:0]
	b.dropOldest()
}

// dropOldest keeps the events that wait within their bounds. Those of the batch that
// is being appended stay, since they may be in the stream already.
func (b *Batcher) dropOldest() {
	first := 0
	if b.sent != nil {
		first = len(b.sent.Events)
	}
	end := first
	for ; end < len(b.pending) && (len(b.pending)-(end-first) > maxPending || b.bytes > maxPendingBytes); end++ {
		b.bytes -= len(b.pending[end].data)
		b.omit(string(b.pending[end].kind), 1)
	}
	if end > first {
		b.pending = slices.Delete(b.pending, first, end)
	}
}

// shortKind returns what of a kind's name the counts of omitted events repeat.
func shortKind(kind string) string { return kind[:min(len(kind), maxKindName)] }

func (b *Batcher) omit(kind string, n int) {
	if n <= 0 {
		return
	}
	kind = shortKind(kind)
	if _, known := b.omitted[kind]; !known && len(b.omitted) >= maxKinds {
		kind = "other"
	}
	b.omitted[kind] += n
}

func (b *Batcher) pack(e fleet.Event) {
	data, err := msgpack.Marshal(&e)
	if err == nil && len(data) > maxEventBytes {
		e.Detail = map[string]string{"cut": fmt.Sprintf("%d bytes", len(data))}
		data, err = msgpack.Marshal(&e)
	}
	if err != nil || len(data) > maxEventBytes {
		b.omit(string(e.Kind), 1)
		return
	}
	b.pending = append(b.pending, packed{data, e.Kind})
	b.bytes += len(data)
}

// Next returns the batch to append, or nil if there is none or an append is not yet
// due. Until Done it is the same batch with a new time, so that batches lie in the
// stream in the order of their times even after the log service was away. A flush
// ignores the interval and ends the current second's sample. Wall is in Unix
// nanoseconds.
func (b *Batcher) Next(now fleet.Time, wall int64, flush bool) ([]byte, error) {
	b.Tick(now)
	if flush {
		b.closeWindow()
	}
	if now < b.nextAt && !flush {
		return nil, nil
	}
	if b.sent == nil {
		if len(b.pending) == 0 {
			return nil, nil
		}
		b.build()
	}
	b.nextAt = now.Add(AppendInterval)
	b.sent.Built = wall
	data, err := msgpack.Marshal(b.sent)
	if err != nil {
		return nil, result.Errorf(result.Internal, "events: %v", err)
	}
	return data, nil
}

func (b *Batcher) build() {
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
	b.sent = batch
	b.omitted = map[string]int{}
}

// Done reports that the batch is in the stream, so that the next one follows.
func (b *Batcher) Done() {
	if b.sent != nil {
		for _, data := range b.sent.Events {
			b.bytes -= len(data)
		}
		b.pending = slices.Delete(b.pending, 0, len(b.sent.Events))
		b.sent = nil
	}
}

// Waiting returns the number of events that are sampled and not yet appended.
func (b *Batcher) Waiting() int { return len(b.pending) }

// decodeBatch reads a record of the stream.
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
		return fmt.Errorf("%d bytes after the value", r.Len())
	}
	return nil
}
