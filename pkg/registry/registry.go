// Package registry holds what backend servers say of themselves: one entry for each
// server, ordered by the server's incarnation and sequence number. Entries come from
// a store's feed, directly or through another entry VM.
package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Entry is a backend server's registration.
type Entry struct {
	Server fleet.Server  `msgpack:"s"`
	Slots  int           `msgpack:"n"` // requests that the server runs at once
	Warmup time.Duration `msgpack:"w"` // how much longer the server stays slow after its start
	Born   int64         `msgpack:"b"` // start of the server's incarnation, Unix milliseconds
	Seq    int64         `msgpack:"q"` // rises with each registration of an incarnation
}

// after reports whether e is a later registration than o.
func (e Entry) after(o Entry) bool {
	return cmp.Or(cmp.Compare(e.Born, o.Born), cmp.Compare(e.Seq, o.Seq)) > 0
}

// same reports whether e says the same as o, leaving aside that it was said again.
func (e Entry) same(o Entry) bool {
	return e.Server == o.Server && e.Slots == o.Slots && e.Born == o.Born && (e.Warmup > 0) == (o.Warmup > 0)
}

// Change is one record of the feed: a registration, or the removal of a server.
type Change struct {
	ID    fleet.ServerID `msgpack:"i"`
	Entry *Entry         `msgpack:"e"` // nil: the server is gone
}

// Batch is a reading of the feed of registrations.
type Batch struct {
	Changes []Change
	Next    int64 // position of the next reading
	Reset   bool  // Changes are all entries there are; servers that are not among them are gone
}

// row is one server of the table. A removed server's row stays for a while, so that
// a late registration of the incarnation that was removed does not bring it back.
type row struct {
	entry   Entry
	gone    bool
	goneAt  fleet.Time
	pending fleet.Time // a removal is due at this time; 0 for none
}

// forgetAfter is how long the row of a removed server is kept.
const forgetAfter = 2 * time.Minute

// Table holds the newest registration of each server.
type Table struct {
	rows    map[fleet.ServerID]*row
	pending int // rows with a removal that is due later
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[fleet.ServerID]*row)} }

// Apply takes changes over and returns those that changed the table. A removal takes
// effect after hold, unless the server registers again before; see Due.
func (t *Table) Apply(now fleet.Time, changes []Change, hold time.Duration) []Change {
	var out []Change
	for _, c := range changes {
		if t.apply(now, c, hold) {
			out = append(out, c)
		}
	}
	return out
}

func (t *Table) apply(now fleet.Time, c Change, hold time.Duration) bool {
	r := t.rows[c.ID]
	if c.Entry == nil {
		return t.remove(now, r, hold)
	}
	if r == nil {
		t.rows[c.ID] = &row{entry: *c.Entry}
		return true
	}
	if !c.Entry.after(r.entry) {
		// The same registration read again shows that the server was not removed.
		if !r.gone && r.pending != 0 && *c.Entry == r.entry {
			t.unpend(r)
		}
		return false
	}
	changed := r.gone || !c.Entry.same(r.entry)
	t.unpend(r)
	r.entry, r.gone = *c.Entry, false
	return changed
}

func (t *Table) remove(now fleet.Time, r *row, hold time.Duration) bool {
	if r == nil || r.gone {
		return false
	}
	if hold > 0 {
		if r.pending == 0 {
			r.pending = now.Add(hold)
			t.pending++
		}
		return false
	}
	t.unpend(r)
	r.gone, r.goneAt = true, now
	return true
}

func (t *Table) unpend(r *row) {
	if r.pending != 0 {
		r.pending = 0
		t.pending--
	}
}

// Due returns the removals whose hold has passed, and forgets old rows.
func (t *Table) Due(now fleet.Time) []Change {
	if t.pending == 0 {
		return nil
	}
	var out []Change
	for id, r := range t.rows {
		if r.pending != 0 && now >= r.pending {
			t.unpend(r)
			r.gone, r.goneAt = true, now
			out = append(out, Change{ID: id})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Missing returns removals of the servers that the batch of a reset does not hold.
func (t *Table) Missing(all []Change) []Change {
	held := make(map[fleet.ServerID]bool, len(all))
	for _, c := range all {
		held[c.ID] = c.Entry != nil
	}
	var out []Change
	for id, r := range t.rows {
		if !r.gone && !held[id] {
			out = append(out, Change{ID: id})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Forget drops the rows of servers that were removed long ago.
func (t *Table) Forget(now fleet.Time) {
	for id, r := range t.rows {
		if r.gone && now.Sub(r.goneAt) > forgetAfter {
			delete(t.rows, id)
		}
	}
}

// Entries returns all registered servers, sorted by id.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.rows))
	for _, r := range t.rows {
		if !r.gone {
			out = append(out, r.entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return out
}
