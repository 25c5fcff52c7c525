package registry

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

func registration(id string, incarnation, seq int64, state fleet.State) Change {
	e := Entry{Server: fleet.Server{ID: fleet.ServerID(id), Service: "ticket-desk", Addr: "10.0.0.1:80", State: state}, Slots: 6, Incarnation: incarnation, Seq: seq}
	return Change{ID: e.Server.ID, Entry: &e}
}

func serverIDs(entries []Entry) (out []string) {
	for _, e := range entries {
		out = append(out, string(e.Server.ID))
	}
	return out
}

// Guards against a late registration that makes a leaving server live again.
func TestLateRegistrationIsIgnored(t *testing.T) {
	table := NewTable()
	require.Len(t, table.Apply(0, []Change{registration("a", 5, 1, fleet.StateLive)}, 0), 1)
	require.Len(t, table.Apply(0, []Change{registration("a", 5, 3, fleet.StateLeaving)}, 0), 1)
	require.Empty(t, table.Apply(0, []Change{registration("a", 5, 2, fleet.StateLive)}, 0))
	require.Empty(t, table.Apply(0, []Change{registration("a", 4, 9, fleet.StateLive)}, 0))
	require.Equal(t, fleet.StateLeaving, table.Entries()[0].Server.State)

	require.Len(t, table.Apply(0, []Change{registration("a", 6, 1, fleet.StateLive)}, 0), 1)
	require.Equal(t, fleet.StateLive, table.Entries()[0].Server.State)
}

// Guards against a removed server that is restored by an old registration.
func TestOldRegistrationDoesNotRestoreRemovedServer(t *testing.T) {
	table := NewTable()
	table.Apply(0, []Change{registration("a", 5, 3, fleet.StateLive)}, 0)
	require.Len(t, table.Apply(0, []Change{{ID: "a"}}, 0), 1)
	require.Empty(t, table.Apply(0, []Change{registration("a", 5, 2, fleet.StateLive)}, 0))
	require.Empty(t, table.Entries())
	require.Len(t, table.Apply(0, []Change{registration("a", 5, 4, fleet.StateLive)}, 0), 1)
}

// Guards against heartbeats that are treated as changes and sent to all VMs.
func TestHeartbeatIsNotAChange(t *testing.T) {
	table := NewTable()
	table.Apply(0, []Change{registration("a", 5, 1, fleet.StateLive)}, 0)
	require.Empty(t, table.Apply(0, []Change{registration("a", 5, 2, fleet.StateLive)}, 0))
}

// Guards against servers whose registrations expired in an outage of the store and that are
// removed before they can register again, and against keeping one that never does.
func TestRemovalsAreDelayed(t *testing.T) {
	const delay = 2 * time.Second
	table := NewTable()
	table.Apply(0, []Change{registration("a", 5, 1, fleet.StateLive), registration("b", 5, 1, fleet.StateLive)}, 0)
	require.Empty(t, table.Apply(0, []Change{{ID: "a"}, {ID: "b"}}, delay))
	require.Equal(t, []string{"a", "b"}, serverIDs(table.Entries()))
	table.Apply(fleet.Time(time.Second), []Change{registration("a", 5, 2, fleet.StateLive)}, delay)
	require.Empty(t, table.ApplyDue(fleet.Time(delay)-1))
	require.Equal(t, []Change{{ID: "b"}}, table.ApplyDue(fleet.Time(delay)))
	require.Equal(t, []string{"a"}, serverIDs(table.Entries()))
}

// Guards against servers that stay registered although a complete read does not list them.
func TestMissingServersAreRemoved(t *testing.T) {
	table := NewTable()
	all := []Change{registration("a", 5, 1, fleet.StateLive), registration("b", 5, 1, fleet.StateLive)}
	table.Apply(0, all, 0)
	require.Equal(t, []Change{{ID: "b"}}, table.Missing(all[:1]))
	require.Equal(t, []Change{{ID: "a"}}, table.Missing([]Change{{ID: "a"}, all[1]}))
}

// Guards against an entry of another writer, with a service that is not configured, that displaces the server under
// whose ID it is, or hides what the server says later.
func TestEntryOfUnknownServiceYields(t *testing.T) {
	foreign := func() Change {
		c := registration("a", 9, 1_000_000, fleet.StateLive)
		c.Entry.Server.Service = "attic"
		return c
	}
	for _, before := range [][]Change{nil, {registration("a", 5, 1, fleet.StateLive)}, {registration("a", 5, 1, fleet.StateLive), {ID: "a"}}} {
		table := NewTable()
		table.SetServices(map[fleet.Service]bool{"ticket-desk": true})
		table.Apply(0, before, 0)
		table.Apply(0, []Change{foreign()}, 0)
		table.Apply(0, []Change{registration("a", 5, 2, fleet.StateLeaving)}, 0)
		require.Equal(t, []Entry{*registration("a", 5, 2, fleet.StateLeaving).Entry}, table.Entries())
		require.Empty(t, table.Apply(0, []Change{foreign()}, 0))
		require.Empty(t, table.Apply(0, []Change{registration("a", 5, 1, fleet.StateLive)}, 0), "an older registration")
	}
}

// Guards against a tombstone without a service that an older incarnation of the removed server displaces.
func TestTombstoneWithoutServiceHolds(t *testing.T) {
	table := NewTable()
	table.SetServices(map[fleet.Service]bool{"ticket-desk": true})
	bare := registration("a", 9, 3, fleet.StateLive)
	bare.Entry.Server.Service = ""
	table.Apply(0, []Change{bare, {ID: "a"}}, 0)
	require.Empty(t, table.Apply(0, []Change{registration("a", 5, 7, fleet.StateLive)}, 0))
	require.Len(t, table.Apply(0, []Change{registration("a", 10, 1, fleet.StateLive)}, 0), 1)
}

// Guards against an impossible entry from another VM that replaces a server's, or is later than any of its entries.
func TestImpossibleEntriesAreIgnored(t *testing.T) {
	for name, change := range map[string]func(*Entry){
		"another server":       func(e *Entry) { e.Server.ID = "b" },
		"no state":             func(e *Entry) { e.Server.State = 0 },
		"unknown state":        func(e *Entry) { e.Server.State = 77 },
		"sequence number":      func(e *Entry) { e.Seq = math.MaxInt64 },
		"negative sequence":    func(e *Entry) { e.Seq, e.Incarnation = -1, 6 },
		"incarnation":          func(e *Entry) { e.Incarnation = math.MaxInt64 },
		"negative incarnation": func(e *Entry) { e.Incarnation = math.MinInt64 },
		"slots":                func(e *Entry) { e.Slots = math.MaxInt },
		"negative slots":       func(e *Entry) { e.Slots = -1 },
		"warm-up":              func(e *Entry) { e.Warmup = math.MaxInt64 },
		"negative warm-up":     func(e *Entry) { e.Warmup = -1 },
	} {
		table := NewTable()
		table.Apply(0, []Change{registration("a", 5, 1, fleet.StateLive)}, 0)
		bad := registration("a", 5, 2, fleet.StateLive)
		change(bad.Entry)
		require.Empty(t, table.Apply(0, []Change{bad}, 0), name)
		require.Equal(t, []fleet.ServerID{"a"}, table.Ignored(), name)
		require.Empty(t, table.Ignored())
		require.Len(t, table.Apply(0, []Change{registration("a", 5, 2, fleet.StateLeaving)}, 0), 1, name)
	}
}
