// Package registry holds the registrations of backend servers: one entry for each server,
// versioned by the server's incarnation and sequence number. Entries come from a store's
// feed, directly or through another entry VM.
package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Entry is a backend server's registration.
type Entry struct {
	Server      fleet.Server  `msgpack:"s"`
	Slots       int           `msgpack:"n"` // requests that the server runs concurrently
	Warmup      time.Duration `msgpack:"w"` // remaining time in which the server is slow after its start
	Incarnation int64         `msgpack:"b"` // start of the server's incarnation, Unix milliseconds
	Seq         int64         `msgpack:"q"` // increases with each registration of an incarnation
}

// newerThan reports whether e is a newer registration than o.
func (e Entry) newerThan(o Entry) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, o.Incarnation), cmp.Compare(e.Seq, o.Seq)) > 0
}

// Bounds of the values of an entry. An entry beyond them would hide all later ones of its server.
const (
	maxSlots   = 1 << 20 // requests that a server runs concurrently
	maxWarmup  = 24 * time.Hour
	maxInteger = 1 << 53 // of a sequence number or an incarnation, as in the store's records
)

// valid reports whether the entry can be the registration of a server. An entry of another VM may be wrong.
func (e Entry) valid(id fleet.ServerID) bool {
	return e.Server.ID == id && (e.Server.State == fleet.StateLive || e.Server.State == fleet.StateLeaving) &&
		e.Slots >= 0 && e.Slots <= maxSlots && e.Warmup >= 0 && e.Warmup <= maxWarmup &&
		e.Incarnation >= 0 && e.Incarnation <= maxInteger && e.Seq >= 0 && e.Seq <= maxInteger
}

// sameState reports whether e and o describe the same state. It ignores the sequence number,
// which each heartbeat increases.
func (e Entry) sameState(o Entry) bool {
	return e.Server == o.Server && e.Slots == o.Slots && e.Incarnation == o.Incarnation && (e.Warmup > 0) == (o.Warmup > 0)
}

// Change is a record of the feed: the registration or the removal of a server.
type Change struct {
	ID    fleet.ServerID `msgpack:"i"`
	Entry *Entry         `msgpack:"e"` // nil: the server is removed
}

// Batch is the result of a read from the feed of registrations.
type Batch struct {
	Changes []Change
	Next    Position // position of the next read
	Reset   bool     // Changes is the complete state; servers that are not in it are removed
}

// row is one server of the table. The row of a removed server is kept as a tombstone, so
// that a late registration of the removed incarnation does not restore the server.
type row struct {
	entry      Entry
	removed    bool
	removedAt  fleet.Time
	removalDue fleet.Time // time of a delayed removal; 0 for none
}

const tombstoneRetention = 2 * time.Minute

// Table holds the latest registration of each server.
type Table struct {
	rows            map[fleet.ServerID]*row
	pendingRemovals int // rows with a delayed removal
	services        map[fleet.Service]bool
	ignored         []fleet.ServerID // whose entries were ignored since the last call of Ignored
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[fleet.ServerID]*row)} }

// SetServices sets the services of the document in effect. Before the first call all services are known.
func (t *Table) SetServices(services map[fleet.Service]bool) { t.services = services }

// isKnown reports whether a service may be that of a server. A tombstone may have none.
func (t *Table) isKnown(s fleet.Service) bool { return t.services == nil || t.services[s] || s == "" }

// supersedes reports whether e replaces the entry of a row. Another writer may have written an entry under the
// server's ID, with an unknown service and any incarnation and sequence number; it yields to one with a known service.
func (t *Table) supersedes(e, old Entry) bool {
	if known := t.isKnown(e.Server.Service); known != t.isKnown(old.Server.Service) {
		return known
	}
	return e.newerThan(old)
}

// Ignored returns and clears the servers whose entries were ignored, because they cannot be their registrations.
func (t *Table) Ignored() []fleet.ServerID {
	out := t.ignored
	t.ignored = nil
	return out
}

// Apply applies changes and returns those that modified the table. Removals are delayed by
// delay and cancelled if the server registers again before then; see ApplyDue.
func (t *Table) Apply(now fleet.Time, changes []Change, delay time.Duration) []Change {
	var out []Change
	for _, c := range changes {
		if t.apply(now, c, delay) {
			out = append(out, c)
		}
	}
	return out
}

func (t *Table) apply(now fleet.Time, c Change, delay time.Duration) bool {
	r := t.rows[c.ID]
	if c.Entry == nil {
		return t.remove(now, r, delay)
	}
	if !c.Entry.valid(c.ID) {
		t.ignored = append(t.ignored, c.ID)
		return false
	}
	if r == nil {
		t.rows[c.ID] = &row{entry: *c.Entry}
		return true
	}
	if !t.supersedes(*c.Entry, r.entry) {
		// Reading the same registration again shows that the server was not removed.
		if !r.removed && r.removalDue != 0 && *c.Entry == r.entry {
			t.cancelRemoval(r)
		}
		return false
	}
	changed := r.removed || !c.Entry.sameState(r.entry)
	t.cancelRemoval(r)
	r.entry, r.removed = *c.Entry, false
	return changed
}

func (t *Table) remove(now fleet.Time, r *row, delay time.Duration) bool {
	if r == nil || r.removed {
		return false
	}
	if delay > 0 {
		if r.removalDue == 0 {
			r.removalDue = now.Add(delay)
			t.pendingRemovals++
		}
		return false
	}
	t.cancelRemoval(r)
	r.removed, r.removedAt = true, now
	return true
}

func (t *Table) cancelRemoval(r *row) {
	if r.removalDue != 0 {
		r.removalDue = 0
		t.pendingRemovals--
	}
}

// ApplyDue applies and returns the delayed removals that are due.
func (t *Table) ApplyDue(now fleet.Time) []Change {
	if t.pendingRemovals == 0 {
		return nil
	}
	var out []Change
	for id, r := range t.rows {
		if r.removalDue != 0 && now >= r.removalDue {
			t.cancelRemoval(r)
			r.removed, r.removedAt = true, now
			out = append(out, Change{ID: id})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Missing returns removals of the servers that are not in a complete state (see Batch.Reset).
func (t *Table) Missing(all []Change) []Change {
	present := make(map[fleet.ServerID]bool, len(all))
	for _, c := range all {
		present[c.ID] = c.Entry != nil
	}
	var out []Change
	for id, r := range t.rows {
		if !r.removed && !present[id] {
			out = append(out, Change{ID: id})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// DropTombstones deletes tombstones older than tombstoneRetention.
func (t *Table) DropTombstones(now fleet.Time) {
	for id, r := range t.rows {
		if r.removed && now.Sub(r.removedAt) > tombstoneRetention {
			delete(t.rows, id)
		}
	}
}

// Entries returns all registered servers, sorted by ID.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.rows))
	for _, r := range t.rows {
		if !r.removed {
			out = append(out, r.entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return out
}
