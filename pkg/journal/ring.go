// Package journal records the fleet's decisions and their reasons as events. Each VM
// holds recent events in a ring buffer and appends them in batches to the log stream
// "events"; both can be queried.
package journal

import (
	"cmp"
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// RingSize is the number of events that a VM holds in memory.
const RingSize = 16384

// Query selects events. Empty fields match all events.
type Query struct {
	From    int64           `json:"from,omitempty"` // Unix nanoseconds, inclusive
	To      int64           `json:"to,omitempty"`   // Unix nanoseconds, exclusive; 0: no end
	Kind    fleet.EventKind `json:"kind,omitempty"`
	Service fleet.Service   `json:"service,omitempty"`
	Server  fleet.ServerID  `json:"server,omitempty"`
	Request string          `json:"request,omitempty"`
	VM      fleet.VMID      `json:"vm,omitempty"`
	Limit   int             `json:"limit,omitempty"` // maximum number of events, the newest ones; 0: no limit
}

// Matches reports whether e matches the query.
func (q Query) Matches(e fleet.Event) bool {
	return e.At >= q.From && (q.To == 0 || e.At < q.To) &&
		matches(q.Kind, e.Kind) && matches(q.Service, e.Service) && matches(q.Server, e.Server) &&
		matches(q.Request, e.Request) && matches(q.VM, e.VM)
}

func matches[T ~string](want, have T) bool { return want == "" || want == have }

// Ring is a ring buffer of the newest events. It is not safe for concurrent use.
type Ring struct {
	events []fleet.Event
	next   int // index of the oldest event, which Add replaces once the ring is full
	size   int
}

// NewRing returns a Ring with capacity for size events.
func NewRing(size int) *Ring { return &Ring{size: size} }

// Add stores an event. If the ring is full, it replaces the oldest one.
func (r *Ring) Add(e fleet.Event) {
	if len(r.events) < r.size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.size
}

// Query returns the events that match q, oldest first.
func (r *Ring) Query(q Query) []fleet.Event {
	var selected []fleet.Event
	for i := range r.events {
		if e := r.events[(r.next+i)%len(r.events)]; q.Matches(e) {
			selected = append(selected, e)
		}
	}
	return Merge(q.Limit, selected)
}

// Merge combines lists of events, sorts them by time and removes duplicates. If limit is
// positive, it returns only the newest events.
func Merge(limit int, lists ...[]fleet.Event) []fleet.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEvents)
	all = slices.CompactFunc(all, func(a, b fleet.Event) bool { return compareEvents(a, b) == 0 })
	if limit > 0 && len(all) > limit {
		all = slices.Clone(all[len(all)-limit:])
	}
	return all
}

// compareEvents orders events by time and then by their other fields except Detail, so
// that duplicates are adjacent. Recorder assigns distinct times to the events of one VM.
func compareEvents(a, b fleet.Event) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server),
		cmp.Compare(a.Request, b.Request), cmp.Compare(a.Reason, b.Reason))
}
