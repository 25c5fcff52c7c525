// Package journal keeps what the fleet decided and why: a ring of recent events in
// memory, batches of them for the log stream "events", and queries over both.
package journal

import (
	"cmp"
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// RingSize is the number of events that a VM keeps in memory.
const RingSize = 16384

// Query selects events. Empty fields match every event.
type Query struct {
	From    int64           `json:"from,omitempty"` // Unix nanoseconds, inclusive
	To      int64           `json:"to,omitempty"`   // Unix nanoseconds, exclusive; 0: no end
	Kind    fleet.EventKind `json:"kind,omitempty"`
	Service fleet.Service   `json:"service,omitempty"`
	Server  fleet.ServerID  `json:"server,omitempty"`
	Request string          `json:"request,omitempty"`
	VM      fleet.VMID      `json:"vm,omitempty"`
	Limit   int             `json:"limit,omitempty"` // the newest ones are kept; 0: no limit
}

// Matches reports whether the query selects e.
func (q Query) Matches(e fleet.Event) bool {
	return e.At >= q.From && (q.To == 0 || e.At < q.To) &&
		matches(q.Kind, e.Kind) && matches(q.Service, e.Service) && matches(q.Server, e.Server) &&
		matches(q.Request, e.Request) && matches(q.VM, e.VM)
}

func matches[T ~string](want, have T) bool { return want == "" || want == have }

// Ring holds the newest events. It is not safe for concurrent use.
type Ring struct {
	events []fleet.Event
	next   int // where the next event goes once the ring is full
	size   int
}

// NewRing returns a ring for size events.
func NewRing(size int) *Ring { return &Ring{size: size} }

// Add appends an event and drops the oldest one when the ring is full.
func (r *Ring) Add(e fleet.Event) {
	if len(r.events) < r.size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.size
}

// Query returns the selected events, oldest first.
func (r *Ring) Query(q Query) []fleet.Event {
	var out []fleet.Event
	for i := range r.events {
		if e := r.events[(r.next+i)%len(r.events)]; q.Matches(e) {
			out = append(out, e)
		}
	}
	return Merge(q.Limit, out)
}

// Merge joins lists of events, sorts them by time and removes doubles. With a limit
// above 0 it keeps the newest ones. It may change the order within the lists.
func Merge(limit int, lists ...[]fleet.Event) []fleet.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compare)
	all = slices.CompactFunc(all, func(a, b fleet.Event) bool { return compare(a, b) == 0 })
	if limit > 0 && len(all) > limit {
		all = slices.Clone(all[len(all)-limit:])
	}
	return all
}

// compare orders events by time and then by all else, so that doubles are next to
// each other. The recorder gives the events of one VM distinct times.
func compare(a, b fleet.Event) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server),
		cmp.Compare(a.Request, b.Request), cmp.Compare(a.Reason, b.Reason))
}
