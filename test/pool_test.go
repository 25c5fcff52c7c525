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

// noNewWorkAfter is the time after which a server that the list shows as leaving must
// get no new requests.
const noNewWorkAfter = 3 * time.Second

func (f *testFleet) setMode(s *server, m standin.Mode) {
	f.callJSON(http.MethodPut, s.control+"/mode", m, nil)
}

func (f *testFleet) startedRuns(s *server) int {
	var c standin.Counts
	f.callJSON(http.MethodGet, s.control+"/counts", nil, &c)
	return c.Started
}

// serversIn returns the servers that a VM reports in a state, or all servers for an
// empty state.
func (v *vm) serversIn(state string) map[fleet.ServerID]operator.ServerStatus {
	const timeout = time.Second // a paused VM must not delay the queries of the others
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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

// ejected returns the servers that at least one running VM reports as ejected.
func (f *testFleet) ejected() map[fleet.ServerID]bool {
	out := make(map[fleet.ServerID]bool)
	for _, v := range f.running() {
		for id := range v.serversIn("ejected") {
			out[id] = true
		}
	}
	return out
}

// watchEjections samples the ejected servers until the returned function is called,
// which returns the largest sample.
func (f *testFleet) watchEjections() (largest func() []fleet.ServerID) {
	var largestUnion []fleet.ServerID
	stop := runInBackground(f.t, pollInterval, func() {
		start := time.Now()
		union := slices.Collect(maps.Keys(f.ejected()))
		// A sample that took as long as an ejection's lease may combine ejections that
		// did not overlap.
		if time.Since(start) < leaseExpiryWait/2 && len(union) > len(largestUnion) {
			largestUnion = union
		}
	})
	return func() []fleet.ServerID { stop(); return largestUnion }
}

// events returns the events of the given kinds on all running VMs in order of time.
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

// maxEjected returns the largest number of servers that were ejected at the same time
// according to the coordinators' events.
func maxEjected(events []fleet.Event) int {
	ejected, maxCount := make(map[fleet.ServerID]bool), 0
	for _, e := range events {
		if e.Kind == pool.EventEjected {
			ejected[e.Server] = true
		} else {
			delete(ejected, e.Server)
		}
		maxCount = max(maxCount, len(ejected))
	}
	return maxCount
}

func (f *testFleet) poolOwner() *vm {
	for _, s := range f.running()[0].shards() {
		for _, v := range f.running() {
			if s.Shard == "pool/"+region+"/"+service && v.id == vmOfMember(s.Owner) {
				return v
			}
		}
	}
	f.t.Fatal("the pool has no owner")
	return nil
}

// Guards against ejections that together take the pool below its floor when more servers
// have a gray failure than the floor allows to eject, also while the coordinator is
// paused and after its copy has taken over.
func TestGrayServersAtFloor(t *testing.T) {
	t.Parallel()
	const servers, floor = 4, 3
	f := newFleet(t, options{vms: 4, servers: servers, floor: floor})
	c := newCallers(t)
	largest := f.watchEjections()
	stop := c.startLoad(t, f.running, 8)
	gray := f.servers[:2]
	for _, s := range gray {
		f.setMode(s, standin.Mode{Fault: standin.FaultError, FailShare: 0.6})
	}
	eventually(t, "a failing server is ejected on all VMs", func() bool {
		for _, v := range f.running() {
			if len(v.serversIn("ejected")) == 0 {
				return false
			}
		}
		return true
	})
	eventually(t, "the floor prevents the other ejection", func() bool { return len(f.events(pool.EventFloorRefused)) > 0 })
	owner := f.poolOwner()
	whilePaused(t, owner, func() { c.menu(f.others(owner)[0]) })
	// A leaving server takes the healthy capacity below the floor.
	f.putServerRow(f.servers[3], fleet.StateLeaving)
	eventually(t, "the ejected server returns", func() bool { return len(f.ejected()) == 0 })
	f.putServerRow(f.servers[3], fleet.StateLive)
	for _, s := range gray {
		f.setMode(s, standin.Mode{})
	}
	eventually(t, "no server remains ejected", func() bool { return len(f.ejected()) == 0 })
	stop()
	require.LessOrEqual(t, len(largest()), servers-floor, "union over all VMs: %v", largest())
	events := f.events(pool.EventEjected, pool.EventReadmitted, pool.EventFloorReadmitted)
	require.Equal(t, servers-floor, maxEjected(events), "%+v", events)
	verify(t, f, c)
}

// Guards against healthy servers that stay ejected after a partition between two zones,
// and against second runs of bookings that were affected by the partition.
func TestZonePartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 6, floor: 4})
	c := newCallers(t)
	c.bookAll(f.running(), c.keys(2*keySlices))
	stop := c.startLoad(t, f.running, 8)
	near, far := zoneName(0), zoneName(1)
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
	repeatFor(leaseExpiryWait, func() { c.bookAll(f.running(), keys) })
	require.Positive(t, f.heal(), "the partition dropped no bytes")
	t.Logf("ejected during the partition: %+v", f.events(pool.EventEjected))
	eventually(t, "no server is ejected", func() bool { return len(f.ejected()) == 0 })
	for _, s := range f.servers {
		before := f.startedRuns(s)
		eventually(t, s.id+" gets requests again", func() bool { return f.startedRuns(s) > before })
	}
	stop()
	f.awaitBookings(c)
	c.bookAll(f.running(), keys)
	verify(t, f, c)
}

// Guards against new requests for a server that the list shows as leaving, while the
// list of one VM lags, and against a server that gets no requests after it is listed as
// live again.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	stop := c.startLoad(t, f.running, 8)
	leaving, lagging := f.servers[1], f.vms[2]
	eventually(t, "the server gets requests", func() bool { return f.startedRuns(leaving) > 0 })
	release := f.freezeList(lagging)
	f.putServerRow(leaving, fleet.StateLeaving)
	time.Sleep(time.Second) // the lag of one VM's list
	release()
	for _, v := range f.running() {
		eventually(t, v.id+" has read the list", func() bool {
			return v.serversIn("")[fleet.ServerID(leaving.id)].Listed == fleet.StateLeaving.String()
		})
	}
	time.Sleep(noNewWorkAfter)
	before, others := f.startedRuns(leaving), f.startedRuns(f.servers[0])
	const minRuns = 200
	eventually(t, "other servers get requests", func() bool { return f.startedRuns(f.servers[0]) > others+minRuns })
	require.Equal(t, before, f.startedRuns(leaving), "requests started on the leaving server")
	f.putServerRow(leaving, fleet.StateLive)
	eventually(t, "the server gets requests again", func() bool { return f.startedRuns(leaving) > before })
	stop()
	require.Empty(t, c.filter(attempt.interrupted))
	verify(t, f, c)
}
