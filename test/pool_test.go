package test

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// noNewWorkAfter is what the design promises for a leaving server.
const noNewWorkAfter = 3 * time.Second

func (f *testFleet) mode(s *server, m standin.Mode) {
	f.call(http.MethodPut, s.control+"/mode", m, nil)
}

func (f *testFleet) starts(s *server) int {
	var c standin.Counts
	f.call(http.MethodGet, s.control+"/counts", nil, &c)
	return c.Started
}

// serversIn returns the servers that a VM shows in a state, or all of them.
func (v *vm) serversIn(state string) map[fleet.ServerID]operator.ServerStatus {
	const limit = time.Second // a stopped VM must not hold up the others
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	rows, _ := v.api.Servers(ctx, operator.ServersQuery{})
	out := make(map[fleet.ServerID]operator.ServerStatus)
	for _, s := range rows {
		if state == "" || s.State == state {
			out[s.ID] = s
		}
	}
	return out
}

// ejected returns the union of the ejections of all running VMs.
func (f *testFleet) ejected() map[fleet.ServerID]bool {
	out := make(map[fleet.ServerID]bool)
	for _, v := range f.running() {
		for id := range v.serversIn("ejected") {
			out[id] = true
		}
	}
	return out
}

// watchEjections samples the union of ejections until the returned function is
// called, which returns the largest one.
func (f *testFleet) watchEjections() (largest func() []fleet.ServerID) {
	var most []fleet.ServerID
	stop := background(f.t, poll, func() {
		begin := time.Now()
		union := slices.Collect(maps.Keys(f.ejected()))
		// A sample that took as long as an ejection's lease may join ejections that did
		// not overlap.
		if time.Since(begin) < pastLease/2 && len(union) > len(most) {
			most = union
		}
	})
	return func() []fleet.ServerID { stop(); return most }
}

// events returns the events of some kinds on all running VMs, by time.
func (f *testFleet) events(kinds ...fleet.EventKind) []fleet.Event {
	var lists [][]fleet.Event
	for _, v := range f.running() {
		for _, kind := range kinds {
			events, err := v.api.Events(context.Background(), journal.Query{Kind: kind})
			require.NoError(f.t, err)
			lists = append(lists, events)
		}
	}
	return journal.Merge(0, lists...)
}

// mostOut returns the largest number of servers that were ejected at one time by the
// coordinators' events.
func mostOut(events []fleet.Event) int {
	out, most := make(map[fleet.ServerID]bool), 0
	for _, e := range events {
		if e.Kind == pool.EventEjected {
			out[e.Server] = true
		} else {
			delete(out, e.Server)
		}
		most = max(most, len(out))
	}
	return most
}

func (f *testFleet) poolOwner() *vm {
	for _, s := range f.running()[0].shards() {
		for _, v := range f.running() {
			if s.Shard == "pool/"+region+"/"+service && v.id == vmOf(s.Owner) {
				return v
			}
		}
	}
	f.t.Fatal("the pool has no owner")
	return nil
}

// Guards against ejections that together take the pool below its floor when more
// servers are gray than the floor lets go, also while the coordinator is stopped and
// after its replica took over.
func TestGrayServersAtTheFloor(t *testing.T) {
	t.Parallel()
	const servers, floor = 4, 3
	f := newFleet(t, options{vms: 4, servers: servers, floor: floor})
	c := newCallers(t)
	largest := f.watchEjections()
	stop := c.load(t, f.running, 8)
	gray := f.servers[:2]
	for _, s := range gray {
		f.mode(s, standin.Mode{Fault: standin.FaultError, FailShare: 0.6})
	}
	eventually(t, "a gray server is ejected on all VMs", func() bool {
		for _, v := range f.running() {
			if len(v.serversIn("ejected")) == 0 {
				return false
			}
		}
		return true
	})
	eventually(t, "the floor keeps the other one", func() bool { return len(f.events(pool.EventFloorRefused)) > 0 })
	owner := f.poolOwner()
	stopped(t, owner, func() { c.menu(f.others(owner)[0]) })
	// A server that leaves takes the healthy capacity below the floor.
	f.listServer(f.servers[3], fleet.StateLeaving)
	eventually(t, "the ejected server returns", func() bool { return len(f.ejected()) == 0 })
	f.listServer(f.servers[3], fleet.StateLive)
	for _, s := range gray {
		f.mode(s, standin.Mode{})
	}
	eventually(t, "all servers serve", func() bool { return len(f.ejected()) == 0 })
	stop()
	require.LessOrEqual(t, len(largest()), servers-floor, "union over all VMs: %v", largest())
	events := f.events(pool.EventEjected, pool.EventReadmitted, pool.EventFloorReturn)
	require.Equal(t, servers-floor, mostOut(events), "%+v", events)
	verify(t, f, c)
}

// Guards against healthy servers that stay out after a zone was cut off from the
// other one, and against second runs of bookings that met the cut.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 6, floor: 4})
	c := newCallers(t)
	c.bookAll(f.running(), c.keys(2*keySlices))
	stop := c.load(t, f.running, 8)
	near, far := zoneOf(0), zoneOf(1)
	f.cutZones(near, far)
	f.cutZones(far, near)
	for _, v := range f.running() {
		for _, s := range f.servers {
			if s.zone != v.zone {
				f.cut(v.id, s.id)
			}
		}
	}
	keys := c.keys(2 * keySlices)
	repeat(pastLease, func() { c.bookAll(f.running(), keys) })
	require.Positive(t, f.heal(), "the cut dropped nothing")
	t.Logf("ejected during the cut: %+v", f.events(pool.EventEjected))
	eventually(t, "no server is ejected", func() bool { return len(f.ejected()) == 0 })
	for _, s := range f.servers {
		before := f.starts(s)
		eventually(t, s.id+" gets work again", func() bool { return f.starts(s) > before })
	}
	stop()
	f.awaitBookings(c)
	c.bookAll(f.running(), keys)
	verify(t, f, c)
}

// Guards against new work for a server that the list shows as leaving, while the list
// of one VM lags, and against a server that never gets work again when it comes back.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	stop := c.load(t, f.running, 8)
	leaving, late := f.servers[1], f.vms[2]
	eventually(t, "the server has work", func() bool { return f.starts(leaving) > 0 })
	release := f.holdList(late)
	f.listServer(leaving, fleet.StateLeaving)
	time.Sleep(time.Second) // the lag of one VM's list
	release()
	for _, v := range f.running() {
		eventually(t, v.id+" has read the list", func() bool {
			return v.serversIn("")[fleet.ServerID(leaving.id)].Listed == fleet.StateLeaving.String()
		})
	}
	time.Sleep(noNewWorkAfter)
	before, others := f.starts(leaving), f.starts(f.servers[0])
	const more = 200
	eventually(t, "the load goes on", func() bool { return f.starts(f.servers[0]) > others+more })
	require.Equal(t, before, f.starts(leaving), "runs started by the leaving server")
	f.listServer(leaving, fleet.StateLive)
	eventually(t, "the server gets work again", func() bool { return f.starts(leaving) > before })
	stop()
	require.Empty(t, c.having(attempt.cut))
	verify(t, f, c)
}
