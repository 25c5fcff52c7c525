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
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

var self = fleet.Member{VM: "entry-01", Incarnation: 7}

// fakeLog is an in-memory log stream. A failed append may or may not store the record,
// because an error of Append does not indicate whether it took effect.
type fakeLog struct {
	records     []platformapi.Record
	base        platformapi.Offset
	failNext    int  // number of appends that fail next
	storeFailed bool // failed appends store the record
	unavailable bool
}

var errUnavailable = errors.New("log service unavailable")

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (platformapi.Offset, error) {
	failed := l.failNext > 0
	if failed {
		l.failNext--
	}
	if !failed || l.storeFailed {
		l.records = append(l.records, platformapi.Record{Offset: platformapi.Offset(len(l.records)), Data: data})
	}
	if failed {
		return 0, errUnavailable
	}
	return platformapi.Offset(len(l.records) - 1), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from platformapi.Offset, maxBytes int, _ bool) (platformapi.Batch, error) {
	if l.unavailable {
		return platformapi.Batch{}, errUnavailable
	}
	b := platformapi.Batch{OldestOffset: l.base, NextOffset: platformapi.Offset(len(l.records))}
	size := 0
	for at := max(from, l.base); at < b.NextOffset; at++ {
		size += len(l.records[at].Data)
		if len(b.Records) > 0 && size > maxBytes {
			break
		}
		b.Records = append(b.Records, l.records[at])
	}
	return b, nil
}

// fakeClock provides the monotonic time of the batcher and the wall time of the events.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) monotonic() fleet.Time { return fleet.Time(c.now) }
func (c *fakeClock) wall() time.Time       { return time.Unix(1_800_000_000, 0).Add(c.now) }

func newRecorder(log platformapi.Log) (*Recorder, *fakeClock) {
	c := &fakeClock{}
	return NewRecorder(Config{Self: self, Seed: 1, Log: log, Now: c.monotonic, Wall: c.wall}), c
}

func reasons(events []fleet.Event) []string {
	out := make([]string, len(events))
	for i, e := range events {
		out[i] = e.Reason
	}
	return out
}

// The ring must hold the newest events in order, up to its size.
func TestRingKeepsNewestEvents(t *testing.T) {
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
	require.Len(t, r.Query(Query{From: all[5].At, To: all[9].At}), 4, "from is inclusive and to is exclusive")
}

// Two similar events must not be taken for duplicates, even if they occur at the same
// time or the wall clock steps back between them.
func TestEventsHaveDistinctTimes(t *testing.T) {
	r, c := newRecorder(nil)
	r.Record(fleet.Event{Kind: "eject", Reason: "same"})
	c.now = -time.Second
	r.Record(fleet.Event{Kind: "eject", Reason: "same"})
	require.Len(t, r.Query(Query{}), 2)
	require.Len(t, Merge(0, r.Query(Query{}), r.Query(Query{})), 2, "the same events from two sources are duplicates")
}

// 44 VMs share the log service, so a VM must append at most every 5 s, only if it has
// events, and no more than the maximum batch size.
func TestAppendRateAndBatchSizeAreBounded(t *testing.T) {
	log := &fakeLog{}
	r, c := newRecorder(log)
	var appendTimes []time.Duration
	for c.now < 60*time.Second {
		if c.now < 30*time.Second { // about 1.3 MB, more than the appends of that time can hold
			for k := range 10 {
				r.Record(fleet.Event{Kind: fleet.EventKind(fmt.Sprint("kind", k)), Reason: strings.Repeat("x", 4000)})
			}
		}
		before := len(log.records)
		_, err := r.appendNext(context.Background(), false)
		require.NoError(t, err)
		if len(log.records) > before {
			appendTimes = append(appendTimes, c.now)
		}
		c.now += time.Second
	}
	for i := 1; i < len(appendTimes); i++ {
		require.GreaterOrEqual(t, appendTimes[i]-appendTimes[i-1], MinAppendInterval)
	}
	for _, record := range log.records {
		require.LessOrEqual(t, len(record.Data), MaxBatchBytes)
	}
	require.NoError(t, r.Flush(context.Background()))
	got, err := ReadStream(context.Background(), log, Query{})
	require.NoError(t, err)
	require.Len(t, got.Events, 300, "an event within the sampling rate was lost")
	n := len(log.records)
	c.now += time.Minute
	require.NoError(t, r.Flush(context.Background()))
	require.Len(t, log.records, n, "appended a batch without events")
}

// A burst of events of one kind must be sampled uniformly over the whole second and must
// not displace other kinds. The number of events left out must be reported.
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
	require.Len(t, sheds.Events, MaxEventsPerKind)
	require.Equal(t, map[string]int{"shed": 1000 - MaxEventsPerKind}, sheds.Omitted)
	require.Len(t, r.Query(Query{Kind: "shed"}), 1000, "the ring holds all events")
	late := 0
	for _, e := range sheds.Events {
		if len(e.Reason) == 3 && e.Reason >= "500" {
			late++
		}
	}
	require.True(t, late > 2 && late < 18, "the sample is not uniform: %d of %d events are from the second half", late, MaxEventsPerKind)
	ejects, err := ReadStream(context.Background(), log, Query{Kind: "eject"})
	require.NoError(t, err)
	require.Len(t, ejects.Events, 10)
}

// A failed append must neither lose nor duplicate an event, whether it took effect or not.
func TestFailedAppendKeepsEvents(t *testing.T) {
	for _, stored := range []bool{false, true} {
		log := &fakeLog{failNext: 3, storeFailed: stored}
		r, c := newRecorder(log)
		for i := range 120 {
			r.Record(fleet.Event{Kind: "eject", Reason: fmt.Sprintf("%03d", i)})
			c.now += 500 * time.Millisecond
			if i%2 == 1 {
				_, _ = r.appendNext(context.Background(), false)
			}
		}
		require.Zero(t, log.failNext)
		require.NoError(t, r.Flush(context.Background()))
		require.Zero(t, r.batcher.PendingCount())
		require.Zero(t, r.batcher.pendingBytes)
		got, err := ReadStream(context.Background(), log, Query{})
		require.NoError(t, err)
		require.Len(t, got.Events, 120, "failed appends take effect: %v", stored)
		require.Empty(t, got.Omitted)
		require.Equal(t, reasons(r.Query(Query{})), reasons(got.Events))
	}
}

// During a long outage of the log service, pending events must stay within the limits on
// number and bytes. The newest events must be kept and the dropped ones counted.
func TestPendingEventsAreBounded(t *testing.T) {
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
				data, err := b.NextBatch(now, 0, false)
				require.NoError(t, err)
				require.NotNil(t, data)
			}
			require.LessOrEqual(t, b.PendingCount(), maxPendingEvents)
			require.LessOrEqual(t, b.pendingBytes, maxPendingBytes)
		}
		b.Tick(now)
		kept, omitted, first := b.PendingCount(), 0, int64(-1)
		var newest int64
		for b.PendingCount() > 0 {
			data, err := b.NextBatch(now, 0, true)
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
			b.ConfirmAppend()
		}
		require.Equal(t, added, kept+omitted, "size %d", size)
		require.Less(t, kept, added, "the limit was not reached")
		require.EqualValues(t, added-1, newest)
		require.Zero(t, first, "events of the batch in flight were dropped")
	}
}

// A query must start reading near its start time, skip records that cannot be decoded,
// and report an outage of the log service.
func TestReadStream(t *testing.T) {
	log := &fakeLog{}
	r, c := newRecorder(log)
	for i := range 600 {
		r.Record(fleet.Event{Kind: "eject", Reason: fmt.Sprint(i)})
		c.now += 10 * time.Second
		require.NoError(t, r.Flush(context.Background()))
		if i == 300 {
			_, _ = log.Append(context.Background(), StreamName, []byte("garbage"))
		}
	}
	log.base = 20 // expired records
	from := r.Query(Query{})[500].At
	got, err := ReadStream(context.Background(), log, Query{From: from})
	require.NoError(t, err)
	require.Len(t, got.Events, 100)
	require.Equal(t, "500", got.Events[0].Reason)
	start, err := findStart(context.Background(), log, from)
	require.NoError(t, err)
	require.Greater(t, start, platformapi.Offset(480), "the search result is too far before the start time")
	got, err = ReadStream(context.Background(), log, Query{Limit: 3})
	require.NoError(t, err)
	require.Equal(t, []string{"597", "598", "599"}, reasons(got.Events))
	require.Equal(t, 1, got.Malformed)
	log.unavailable = true
	_, err = ReadStream(context.Background(), log, Query{})
	var resultErr *result.Error
	require.ErrorAs(t, err, &resultErr)
	require.Equal(t, result.StoreAway, resultErr.Code)
}
