package journal

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

var self = fleet.Member{VM: "entry-01", Incarnation: 7}

// fakeLog is the stream in memory. Its failures come before or after the record is
// kept, since an error of Append does not say which.
type fakeLog struct {
	records    []platform.Record
	base       platform.Offset
	fail       int  // appends that fail from now on
	keepFailed bool // failed appends take effect
	away       bool
}

var errAway = errors.New("log service away")

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (platform.Offset, error) {
	failed := l.fail > 0
	if failed {
		l.fail--
	}
	if !failed || l.keepFailed {
		l.records = append(l.records, platform.Record{Offset: platform.Offset(len(l.records)), Data: data})
	}
	if failed {
		return 0, errAway
	}
	return platform.Offset(len(l.records) - 1), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from platform.Offset, most int, _ bool) (platform.Batch, error) {
	if l.away {
		return platform.Batch{}, errAway
	}
	b := platform.Batch{Base: l.base, Next: platform.Offset(len(l.records))}
	size := 0
	for at := max(from, l.base); at < b.Next; at++ {
		size += len(l.records[at].Data)
		if len(b.Records) > 0 && size > most {
			break
		}
		b.Records = append(b.Records, l.records[at])
	}
	return b, nil
}

// clock is a fake clock that both the batcher and the events use.
type clock struct{ now time.Duration }

func (c *clock) mono() fleet.Time { return fleet.Time(c.now) }
func (c *clock) wall() time.Time  { return time.Unix(1_800_000_000, 0).Add(c.now) }

func newRecorder(log platform.Log) (*Recorder, *clock) {
	c := &clock{}
	return New(Config{Self: self, Seed: 1, Log: log, Now: c.mono, Wall: c.wall}), c
}

func reasons(events []fleet.Event) []string {
	out := make([]string, len(events))
	for i, e := range events {
		out[i] = e.Reason
	}
	return out
}

// The newest events must stay, in order, and nothing beyond the ring's size.
func TestRingKeepsTheNewest(t *testing.T) {
	r, c := newRecorder(nil)
	for i := range RingSize + 10 {
		c.now += time.Microsecond
		r.Record(fleet.Event{Kind: "eject", Reason: fmt.Sprint(i)})
	}
	all := r.Query(Query{})
	require.Len(t, all, RingSize)
	require.Equal(t, "10", all[0].Reason)
	require.Equal(t, fmt.Sprint(RingSize+9), all[RingSize-1].Reason)
	require.Equal(t, []string{fmt.Sprint(RingSize + 8), fmt.Sprint(RingSize + 9)}, reasons(r.Query(Query{Limit: 2})))
	require.Len(t, r.Query(Query{From: all[5].At, To: all[9].At}), 4, "from is inclusive, to exclusive")
}

// Two alike events at one instant, or after the wall clock stepped back, must stay
// two events.
func TestEventsHaveDistinctTimes(t *testing.T) {
	r, c := newRecorder(nil)
	r.Record(fleet.Event{Kind: "eject", Reason: "same"})
	c.now = -time.Second
	r.Record(fleet.Event{Kind: "eject", Reason: "same"})
	require.Len(t, r.Query(Query{}), 2)
	require.Len(t, Merge(0, r.Query(Query{}), r.Query(Query{})), 2, "the same events from two sources are doubles")
}

// 44 VMs share the log service: a VM must not append more often than every 5 s, nor
// without events, nor more than a batch's bound.
func TestAppendsAreRareAndBounded(t *testing.T) {
	log := &fakeLog{}
	r, c := newRecorder(log)
	var at []time.Duration
	for c.now < 60*time.Second {
		if c.now < 30*time.Second { // about 1.3 MB, more than the appends of that time take
			for k := range 10 {
				r.Record(fleet.Event{Kind: fleet.EventKind(fmt.Sprint("kind", k)), Reason: strings.Repeat("x", 4000)})
			}
		}
		before := len(log.records)
		_, err := r.appendOnce(context.Background(), false)
		require.NoError(t, err)
		if len(log.records) > before {
			at = append(at, c.now)
		}
		c.now += time.Second
	}
	for i := 1; i < len(at); i++ {
		require.GreaterOrEqual(t, at[i]-at[i-1], AppendInterval)
	}
	for _, record := range log.records {
		require.LessOrEqual(t, len(record.Data), MaxBatchBytes)
	}
	require.NoError(t, r.Flush(context.Background()))
	reading, err := ReadStream(context.Background(), log, Query{})
	require.NoError(t, err)
	require.Len(t, reading.Events, 300, "an event below the sampling rate was lost")
	n := len(log.records)
	c.now += time.Minute
	require.NoError(t, r.Flush(context.Background()))
	require.Len(t, log.records, n, "an append without events")
}

// A storm of one kind must be sampled over its whole second, must not displace
// other kinds, and the number left out must be known.
func TestSamplingByKind(t *testing.T) {
	log := &fakeLog{}
	r, c := newRecorder(log)
	for i := range 1000 {
		c.now += time.Second / 1001
		r.Record(fleet.Event{Kind: "shed", Reason: fmt.Sprint(i)})
		if i%100 == 0 {
			r.Record(fleet.Event{Kind: "eject", Reason: fmt.Sprint(i)})
		}
	}
	require.NoError(t, r.Flush(context.Background()))
	sheds, err := ReadStream(context.Background(), log, Query{Kind: "shed"})
	require.NoError(t, err)
	require.Len(t, sheds.Events, KindRate)
	require.Equal(t, map[string]int{"shed": 1000 - KindRate}, sheds.Omitted)
	require.Len(t, r.Query(Query{Kind: "shed"}), 1000, "memory holds all of them")
	late := 0
	for _, e := range sheds.Events {
		if len(e.Reason) == 3 && e.Reason >= "500" {
			late++
		}
	}
	require.True(t, late > 2 && late < 18, "%d of %d are from the second half: the sample is not uniform", late, KindRate)
	ejects, err := ReadStream(context.Background(), log, Query{Kind: "eject"})
	require.NoError(t, err)
	require.Len(t, ejects.Events, 10)
}

// A failed append, whether it took effect or not, must neither lose nor double an
// event.
func TestFailedAppendKeepsEvents(t *testing.T) {
	for _, keep := range []bool{false, true} {
		log := &fakeLog{fail: 3, keepFailed: keep}
		r, c := newRecorder(log)
		for i := range 120 {
			r.Record(fleet.Event{Kind: "eject", Reason: fmt.Sprintf("%03d", i)})
			c.now += 500 * time.Millisecond
			if i%2 == 1 {
				_, _ = r.appendOnce(context.Background(), false)
			}
		}
		require.Zero(t, log.fail)
		require.NoError(t, r.Flush(context.Background()))
		require.Zero(t, r.batcher.Waiting())
		require.Zero(t, r.batcher.bytes)
		reading, err := ReadStream(context.Background(), log, Query{})
		require.NoError(t, err)
		require.Len(t, reading.Events, 120, "failed appends take effect: %v", keep)
		require.Empty(t, reading.Omitted)
		require.Equal(t, reasons(r.Query(Query{})), reasons(reading.Events))
	}
}

// While the log service is away for hours, memory must stay bounded by count and by
// bytes, the newest events must stay, and those left out must be counted.
func TestWaitingEventsAreBounded(t *testing.T) {
	for _, size := range []int{1, 8000} {
		b := NewBatcher(self, 1)
		now, added := fleet.Time(0), 0
		for second := range 400 {
			for k := range 5 {
				for range 10 {
					b.Add(now, fleet.Event{Kind: fleet.EventKind(fmt.Sprint("k", k)), At: int64(added), Reason: strings.Repeat("x", size)})
					added++
				}
			}
			now = now.Add(time.Second)
			if second == 10 {
				data, err := b.Next(now, 0, false)
				require.NoError(t, err)
				require.NotNil(t, data)
			}
			require.LessOrEqual(t, b.Waiting(), maxPending)
			require.LessOrEqual(t, b.bytes, maxPendingBytes)
		}
		b.Tick(now)
		kept, omitted, first := b.Waiting(), 0, int64(-1)
		var newest int64
		for b.Waiting() > 0 {
			data, err := b.Next(now, 0, true)
			require.NoError(t, err)
			batch, events, err := decodeBatch(data)
			require.NoError(t, err)
			for _, n := range batch.Omitted {
				omitted += n
			}
			if first < 0 {
				first = events[0].At
			}
			newest = events[len(events)-1].At
			b.Done()
		}
		require.Equal(t, added, kept+omitted, "size %d", size)
		require.Less(t, kept, added, "the bound was not reached")
		require.EqualValues(t, added-1, newest)
		require.Zero(t, first, "events of an append without an answer were dropped")
	}
}

// Reading must start near the asked time, survive records that cannot be decoded,
// and report the log service being away.
func TestReadStream(t *testing.T) {
	log := &fakeLog{}
	r, c := newRecorder(log)
	for i := range 600 {
		r.Record(fleet.Event{Kind: "eject", Reason: fmt.Sprint(i)})
		c.now += 10 * time.Second
		require.NoError(t, r.Flush(context.Background()))
		if i == 300 {
			_, _ = log.Append(context.Background(), Stream, []byte("garbage"))
		}
	}
	log.base = 20 // expired records
	from := r.Query(Query{})[500].At
	reading, err := ReadStream(context.Background(), log, Query{From: from})
	require.NoError(t, err)
	require.Len(t, reading.Events, 100)
	require.Equal(t, "500", reading.Events[0].Reason)
	start, err := findStart(context.Background(), log, from)
	require.NoError(t, err)
	require.Greater(t, start, platform.Offset(480), "the search reads far more than it needs")
	reading, err = ReadStream(context.Background(), log, Query{Limit: 3})
	require.NoError(t, err)
	require.Equal(t, []string{"597", "598", "599"}, reasons(reading.Events))
	require.Equal(t, 1, reading.Malformed)
	log.away = true
	_, err = ReadStream(context.Background(), log, Query{})
	var coded *result.Error
	require.ErrorAs(t, err, &coded)
	require.Equal(t, result.StoreAway, coded.Code)
}
