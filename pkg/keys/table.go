package keys

import (
	"cmp"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// Limits of the table of one key shard at one member.
const (
	MaxRecords        = 4096
	MaxTableBytes     = 8 << 20
	MaxAnswerBytes    = 16 << 10 // larger answers are not stored
	recordOverhead    = 200      // estimated size of a record in bytes, without strings and answer
	tombstoneOverhead = 100
	maxScopeBytes     = 1024 // workspace, service and key together
	maxHeaderValues   = 100
)

type recordState uint8

const (
	recordRunning recordState = iota + 1
	recordDone
	recordUnknown
)

// record is the stored state of one key.
type record struct {
	scope       Scope
	attempt     Attempt
	fingerprint uint64
	state       recordState
	answer      *Answer
	changedAt   fleet.Time // when this member applied the last state change
}

type history uint8

const (
	historyUnknown  history = iota // not yet known from the configuration log
	historyComplete                // an absent key has not run within the retention period
	historyLost                    // an absent key may have run, until the retention period after lostAt has passed
)

// table holds the records of one key shard.
type table struct {
	id      shard.ID
	records map[Scope]*record
	// tombstones holds ended attempts that left no record. Without them a Reserve that
	// arrives after its release would create a record that nobody ends.
	tombstones        map[Attempt]fleet.Time
	bytes             int
	history           history
	lostAt            fleet.Time
	nextOpenRequestAt fleet.Time  // earliest time of the next request for an opened record
	pendingImport     *savedTable // set from Import until the role is known, then ages are converted to instants
	openRequested     bool        // this process has requested an opened record
}

func newTable(id shard.ID) *table {
	return &table{id: id, records: map[Scope]*record{}, tombstones: map[Attempt]fleet.Time{}}
}

func (t *table) full(bytes int) bool {
	return len(t.records)+len(t.tombstones) >= MaxRecords || t.bytes+bytes > MaxTableBytes
}

func (s Scope) size() int { return len(s.Workspace) + len(s.Service) + len(s.Key) }

func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v) + 16
		}
	}
	return n
}

func (r *record) size() int { return recordOverhead + r.scope.size() + r.answer.size() }

func (k *Keys) insert(t *table, r *record) {
	t.records[r.scope] = r
	t.bytes += r.size()
	k.track(t, r)
}

// track indexes a running record by Attempt.Caller and schedules any other for expiry.
func (k *Keys) track(t *table, r *record) {
	if r.state != recordRunning {
		k.expiries.push(expiry{table: t, scope: r.scope, attempt: r.attempt, at: r.changedAt})
		return
	}
	running := k.runningByCaller[r.attempt.Caller]
	if running == nil {
		running = map[*record]*table{}
		k.runningByCaller[r.attempt.Caller] = running
	}
	running[r] = t
}

func (k *Keys) untrack(r *record) {
	running := k.runningByCaller[r.attempt.Caller]
	delete(running, r)
	if len(running) == 0 {
		delete(k.runningByCaller, r.attempt.Caller)
	}
}

func (k *Keys) remove(t *table, r *record) {
	delete(t.records, r.scope)
	t.bytes -= r.size()
	k.untrack(r)
}

// finishRecord moves a record to a final state. An answer that exceeds a limit is dropped.
func (k *Keys) finishRecord(now fleet.Time, t *table, r *record, state recordState, answer *Answer) {
	k.untrack(r)
	t.bytes -= r.size()
	r.state, r.answer, r.changedAt = state, answer, now
	if answer.size() > MaxAnswerBytes || t.bytes+r.size() > MaxTableBytes {
		r.answer = nil
	}
	t.bytes += r.size()
	k.track(t, r)
}

// addTombstone records a released attempt, so that a Reserve that arrives later is ignored.
func (k *Keys) addTombstone(now fleet.Time, t *table, a Attempt) {
	if _, known := t.tombstones[a]; !known {
		t.tombstones[a] = now
		t.bytes += tombstoneOverhead
		k.expiries.push(expiry{table: t, attempt: a, at: now, tombstone: true})
	}
}

// expiry schedules the removal of a record or tombstone one retention period after at.
type expiry struct {
	table     *table
	scope     Scope
	attempt   Attempt
	at        fleet.Time
	tombstone bool
}

// expiryQueue is ordered by at, except for imported entries, which may expire late.
type expiryQueue struct {
	items []expiry
	head  int
}

func (q *expiryQueue) push(e expiry) { q.items = append(q.items, e) }

func (q *expiryQueue) popBefore(limit fleet.Time) (expiry, bool) {
	if q.head == len(q.items) || q.items[q.head].at > limit {
		return expiry{}, false
	}
	e := q.items[q.head]
	q.items[q.head] = expiry{}
	q.head++
	if q.head > 1024 && q.head*2 > len(q.items) {
		q.items = slices.Delete(q.items, 0, q.head)
		q.head = 0
	}
	return e, true
}

func (k *Keys) expire(now fleet.Time) {
	limit := now.Add(-k.retention)
	for {
		e, ok := k.expiries.popBefore(limit)
		if !ok {
			return
		}
		if k.tables[e.table.id] != e.table {
			continue
		}
		if e.tombstone {
			if at, known := e.table.tombstones[e.attempt]; known && at == e.at {
				delete(e.table.tombstones, e.attempt)
				e.table.bytes -= tombstoneOverhead
			}
			continue
		}
		r := e.table.records[e.scope]
		if r != nil && r.attempt == e.attempt && r.changedAt == e.at && r.state != recordRunning {
			k.remove(e.table, r)
		}
	}
}

// savedTable is the serialized form of a table. It contains ages instead of instants
// because processes have no common clock.
type savedTable struct {
	Records    []savedRecord    `msgpack:"r"`
	Tombstones []savedTombstone `msgpack:"t"`
	Lost       bool             `msgpack:"l"`
	LostAge    time.Duration    `msgpack:"a"`
}

type savedRecord struct {
	Scope       Scope         `msgpack:"s"`
	Attempt     Attempt       `msgpack:"a"`
	Fingerprint uint64        `msgpack:"f"`
	State       recordState   `msgpack:"e"`
	Answer      *Answer       `msgpack:"w,omitempty"`
	Age         time.Duration `msgpack:"d"`
}

type savedTombstone struct {
	Attempt Attempt       `msgpack:"a"`
	Age     time.Duration `msgpack:"d"`
}

// Export implements shard.Replica. Ages are relative to the latest time passed to k. If
// that time lags, the ages are too small and records are kept longer.
func (k *Keys) Export(id shard.ID) ([]byte, error) {
	t := k.tables[id]
	if t == nil || t.history == historyUnknown {
		return nil, shard.ErrNoHistory
	}
	saved := savedTable{Lost: t.history == historyLost, LostAge: k.now.Sub(t.lostAt)}
	for _, r := range t.records {
		saved.Records = append(saved.Records, savedRecord{
			r.scope, r.attempt, r.fingerprint, r.state, r.answer, max(0, k.now.Sub(r.changedAt)),
		})
	}
	for a, at := range t.tombstones {
		saved.Tombstones = append(saved.Tombstones, savedTombstone{a, max(0, k.now.Sub(at))})
	}
	// Oldest first, so that the importer's expiry queue is ordered.
	slices.SortFunc(saved.Records, func(a, b savedRecord) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), compareAttempts(a.Attempt, b.Attempt))
	})
	slices.SortFunc(saved.Tombstones, func(a, b savedTombstone) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), compareAttempts(a.Attempt, b.Attempt))
	})
	return msgpack.Marshal(&saved)
}

func compareAttempts(a, b Attempt) int {
	return cmp.Or(cmp.Compare(a.Caller.VM, b.Caller.VM),
		cmp.Compare(a.Caller.Incarnation, b.Caller.Incarnation), cmp.Compare(a.Number, b.Number))
}

// Import implements shard.Replica. RoleChanged completes the import, because it receives
// the time that ages are relative to.
func (k *Keys) Import(id shard.ID, state []byte) error {
	saved := &savedTable{}
	if err := msgpack.Unmarshal(state, saved); err != nil {
		return err
	}
	k.Discard(id)
	t := newTable(id)
	t.pendingImport = saved
	k.addTable(t)
	return nil
}

func (k *Keys) finishImport(now fleet.Time, t *table) {
	saved := t.pendingImport
	t.pendingImport = nil
	t.history = historyComplete
	if saved.Lost {
		t.history, t.lostAt = historyLost, now.Add(-saved.LostAge)
	}
	for _, s := range saved.Records {
		k.insert(t, &record{s.Scope, s.Attempt, s.Fingerprint, s.State, s.Answer, now.Add(-s.Age)})
	}
	for _, s := range saved.Tombstones {
		k.addTombstone(now.Add(-s.Age), t, s.Attempt)
	}
}

// Reset implements shard.Replica.
func (k *Keys) Reset(id shard.ID, now fleet.Time) {
	k.Discard(id)
	t := newTable(id)
	t.lostAt = now
	k.addTable(t)
}

// RoleChanged implements shard.Replica.
func (k *Keys) RoleChanged(id shard.ID, now fleet.Time, role shard.Role, _ shard.View) {
	k.now = max(k.now, now)
	t := k.tables[id]
	if t == nil || role == shard.RoleNone {
		return
	}
	if t.pendingImport != nil {
		k.finishImport(now, t)
	}
}

// Discard implements shard.Replica.
func (k *Keys) Discard(id shard.ID) {
	t := k.tables[id]
	if t == nil {
		return
	}
	for _, r := range t.records {
		k.untrack(r)
	}
	delete(k.tables, id)
	k.sortedTables = slices.DeleteFunc(k.sortedTables, func(t *table) bool { return t.id == id })
}

// addTable adds or replaces a table. The list is sorted by slice, so that runs with one
// seed are reproducible. It is short: a VM is a member of few of its region's key shards.
func (k *Keys) addTable(t *table) {
	k.tables[t.id] = t
	at, found := slices.BinarySearchFunc(k.sortedTables, t.id.Slice, func(other *table, slice int) int { return cmp.Compare(other.id.Slice, slice) })
	if found {
		k.sortedTables[at] = t
		return
	}
	k.sortedTables = slices.Insert(k.sortedTables, at, t)
}
