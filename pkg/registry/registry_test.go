package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

func entry(id string, born, seq int64, state fleet.State) Change {
	e := Entry{Server: fleet.Server{ID: fleet.ServerID(id), Service: "ticket-desk", Addr: "10.0.0.1:80", State: state}, Slots: 6, Born: born, Seq: seq}
	return Change{ID: e.Server.ID, Entry: &e}
}

func ids(entries []Entry) (out []string) {
	for _, e := range entries {
		out = append(out, string(e.Server.ID))
	}
	return out
}

// Guards against a late registration that makes a draining server ready again.
func TestLateRegistrationIsIgnored(t *testing.T) {
	table := NewTable()
	require.Len(t, table.Apply(0, []Change{entry("a", 5, 1, fleet.StateLive)}, 0), 1)
	require.Len(t, table.Apply(0, []Change{entry("a", 5, 3, fleet.StateLeaving)}, 0), 1)
	require.Empty(t, table.Apply(0, []Change{entry("a", 5, 2, fleet.StateLive)}, 0))
	require.Empty(t, table.Apply(0, []Change{entry("a", 4, 9, fleet.StateLive)}, 0))
	require.Equal(t, fleet.StateLeaving, table.Entries()[0].Server.State)

	require.Len(t, table.Apply(0, []Change{entry("a", 6, 1, fleet.StateLive)}, 0), 1)
	require.Equal(t, fleet.StateLive, table.Entries()[0].Server.State)
}

// Guards against a removed server that an old registration brings back.
func TestRemovedServerStaysRemoved(t *testing.T) {
	table := NewTable()
	table.Apply(0, []Change{entry("a", 5, 3, fleet.StateLive)}, 0)
	require.Len(t, table.Apply(0, []Change{{ID: "a"}}, 0), 1)
	require.Empty(t, table.Apply(0, []Change{entry("a", 5, 2, fleet.StateLive)}, 0))
	require.Empty(t, table.Entries())
	require.Len(t, table.Apply(0, []Change{entry("a", 5, 4, fleet.StateLive)}, 0), 1)
}

// Guards against heartbeats that count as changes: each would be sent to all VMs.
func TestHeartbeatIsNoChange(t *testing.T) {
	table := NewTable()
	table.Apply(0, []Change{entry("a", 5, 1, fleet.StateLive)}, 0)
	require.Empty(t, table.Apply(0, []Change{entry("a", 5, 2, fleet.StateLive)}, 0))
}

// Guards against servers that lapsed in an outage of the store and are dropped before
// they could register again, and against one that never does and is kept.
func TestRemovalIsHeldAfterOutage(t *testing.T) {
	const hold = 2 * time.Second
	table := NewTable()
	table.Apply(0, []Change{entry("a", 5, 1, fleet.StateLive), entry("b", 5, 1, fleet.StateLive)}, 0)
	require.Empty(t, table.Apply(0, []Change{{ID: "a"}, {ID: "b"}}, hold))
	require.Equal(t, []string{"a", "b"}, ids(table.Entries()))
	table.Apply(fleet.Time(time.Second), []Change{entry("a", 5, 2, fleet.StateLive)}, hold)
	require.Empty(t, table.Due(fleet.Time(hold)-1))
	require.Equal(t, []Change{{ID: "b"}}, table.Due(fleet.Time(hold)))
	require.Equal(t, []string{"a"}, ids(table.Entries()))
}

// Guards against servers that stay although a reading of everything lacks them.
func TestMissing(t *testing.T) {
	table := NewTable()
	all := []Change{entry("a", 5, 1, fleet.StateLive), entry("b", 5, 1, fleet.StateLive)}
	table.Apply(0, all, 0)
	require.Equal(t, []Change{{ID: "b"}}, table.Missing(all[:1]))
	require.Equal(t, []Change{{ID: "a"}}, table.Missing([]Change{{ID: "a"}, all[1]}))
}
