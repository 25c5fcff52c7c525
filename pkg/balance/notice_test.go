package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// reregister removes a server from the registry and registers it again, with an incarnation that is newer by
// step.
func (tb *testBalancer) reregister(id fleet.ServerID, step int64) {
	e := tb.servers[id].entry
	tb.Apply(tb.now, []registry.Change{{ID: id}})
	e.Incarnation += step
	tb.Apply(tb.now, []registry.Change{{ID: id, Entry: &e}})
}

// Guards against requests to a server that said in a response that it is shutting down: later than the registry
// knows, after its registration was lost and came back, and whatever the response was.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for _, state := range []pool.EndState{pool.EndDraining, pool.EndFailed, pool.EndShed, pool.EndCallerError} {
		tb := newTestBalancer(t, "a")
		tb.respond(tb.choose(nil), state, pool.ServerNotice{Leaving: true})
		for range 60 {
			tb.now = tb.now.Add(time.Second)
			tb.Tick(tb.now)
			require.Equal(t, result.NoServer, tb.choose(nil).Code)
		}
		tb.reregister("a", 0)
		require.Equal(t, result.NoServer, tb.choose(nil).Code, "the same incarnation")
		tb.reregister("a", 1)
		require.Equal(t, result.OK, tb.choose(nil).Code, "a new incarnation")
	}
}

// Guards against a departure that is forgotten because the registration was removed before the response arrived.
func TestDepartureAfterRemovalIsKept(t *testing.T) {
	tb := newTestBalancer(t, "a")
	d, e := tb.choose(nil), tb.servers["a"].entry
	tb.Apply(tb.now, []registry.Change{{ID: "a"}})
	tb.respond(d, pool.EndOK, pool.ServerNotice{Leaving: true})
	tb.Apply(tb.now, []registry.Change{{ID: "a", Entry: &e}})
	require.Equal(t, result.NoServer, tb.choose(nil).Code)
}

// Guards against VMs that each have to send a request to a leaving server to learn of it, and against a
// departure that is held against the server's next incarnation.
func TestOtherVMsLearnOfADeparture(t *testing.T) {
	first, second := newTestBalancer(t, "a"), newTestBalancer(t, "a")
	first.respond(first.choose(nil), pool.EndFailed, pool.ServerNotice{Leaving: true})
	zone, region := first.Reports(first.now.Add(time.Second))
	require.NotNil(t, region)
	second.ApplyReport(second.now, "vm0", *zone)
	second.now = second.now.Add(time.Minute)
	require.Equal(t, result.NoServer, second.choose(nil).Code)
	second.reregister("a", 1)
	second.ApplyReport(second.now, "vm0", *zone)
	require.Equal(t, result.OK, second.choose(nil).Code)
}

// Guards against requests to a server that wants none from this VM for a time, and against a refusal that does not
// say when that time ends.
func TestPausedServerGetsNoRequests(t *testing.T) {
	tb := newTestBalancer(t, "a")
	early := tb.choose(nil)
	tb.respond(tb.choose(nil), pool.EndShed, pool.ServerNotice{Pause: 5 * time.Second})
	end := tb.now.Add(5 * time.Second)
	tb.respond(early, pool.EndShed, pool.ServerNotice{Pause: time.Second}) // shorter than the first
	require.False(t, tb.MaySend(tb.now, early.Work))
	for ; tb.now < end; tb.now = tb.now.Add(100 * time.Millisecond) {
		d := tb.choose(idempotent)
		require.Equal(t, result.NoCapacity, d.Code)
		require.GreaterOrEqual(t, d.RetryAfter, end.Sub(tb.now))
		tb.Tick(tb.now)
	}
	require.Equal(t, result.OK, tb.choose(nil).Code)
}

// Guards against a pause that is forgotten with the registration, or held against the next incarnation.
func TestPauseOutlivesRegistration(t *testing.T) {
	tb := newTestBalancer(t, "a")
	tb.respond(tb.choose(nil), pool.EndShed, pool.ServerNotice{Pause: 5 * time.Second})
	tb.reregister("a", 0)
	require.Equal(t, result.NoCapacity, tb.choose(nil).Code)
	tb.reregister("a", 1)
	require.Equal(t, result.OK, tb.choose(nil).Code)
}

// Guards against other VMs that stay away because of a pause that is not theirs.
func TestPauseAppliesToOneVM(t *testing.T) {
	first, second := newTestBalancer(t, "a"), newTestBalancer(t, "a")
	first.respond(first.choose(nil), pool.EndShed, pool.ServerNotice{Pause: time.Minute})
	zone, _ := first.Reports(first.now.Add(time.Second))
	second.ApplyReport(second.now, "vm0", *zone)
	second.now = second.now.Add(time.Second)
	require.Equal(t, result.OK, second.choose(nil).Code)
}

// Guards against a request that waits for a limit and is then sent to a server that paused or leaves meanwhile.
func TestWaitingRequestHeedsNotices(t *testing.T) {
	for _, n := range []pool.ServerNotice{{Pause: 5 * time.Second}, {Leaving: true}} {
		tb := newLimitedBalancer(t, 4)
		waiting, other := tb.choose(nil), tb.choose(nil)
		require.Positive(t, waiting.Delay)
		require.True(t, tb.MaySend(tb.now, waiting.Work))
		tb.respond(other, pool.EndShed, n)
		require.False(t, tb.MaySend(tb.now, waiting.Work))
	}
}

// Guards against memory of departed servers that grows without bound.
func TestDepartedServersAreForgotten(t *testing.T) {
	tb := newTestBalancer(t, "a")
	tb.respond(tb.choose(nil), pool.EndFailed, pool.ServerNotice{Leaving: true})
	tb.Apply(tb.now, []registry.Change{{ID: "a"}})
	require.Len(t, tb.departed, 1)
	tb.now = tb.now.Add(departedTTL + time.Second)
	tb.Tick(tb.now)
	require.Empty(t, tb.departed)
}

// Guards against a departure or a pause that some order of registrations, removals, restarts, waits, reports and late
// responses makes a VM forget.
func TestNoticesHoldInAnyOrderOfEvents(t *testing.T) {
	type heard struct {
		leaving     bool
		pausedUntil fleet.Time
	}
	for seed := range uint64(100) {
		rnd := rng(seed + 1)
		tb := newTestBalancer(t)
		entries := make(map[fleet.ServerID]registry.Entry)
		for _, id := range []string{"a", "b", "c"} {
			tb.putServer(id, "addis", "addis-a", fleet.StateLive)
			entries[fleet.ServerID(id)] = tb.servers[fleet.ServerID(id)].entry
		}
		told := make(map[string]heard) // by server and incarnation
		key := func(e registry.Entry) string { return fmt.Sprint(e.Server.ID, " ", e.Incarnation) }
		var open []pool.Decision
		sentTo := make(map[pool.WorkID]registry.Entry)
		for range 600 {
			tb.now = tb.now.Add(time.Duration(rnd.next() % 200e6))
			id := fleet.ServerID([]string{"a", "b", "c"}[rnd.next()%3])
			e := entries[id]
			switch rnd.next() % 12 {
			case 0:
				tb.Apply(tb.now, []registry.Change{{ID: id}})
			case 1, 2:
				tb.Apply(tb.now, []registry.Change{{ID: id, Entry: &e}})
			case 3:
				e.Incarnation++
				entries[id] = e
				tb.Apply(tb.now, []registry.Change{{ID: id, Entry: &e}})
			case 4:
				tb.ApplyReport(tb.now, "vm1", Report{Zone: "addis-a", Notices: []ServerNotice{{Server: id, Incarnation: e.Incarnation, Starts: uint32(rnd.next() % 9), Named: rnd.next()%2 == 0, Rate: 3}}})
			case 5, 6, 7:
				if len(open) == 0 {
					continue
				}
				i := int(rnd.next() % uint64(len(open)))
				d, n := open[i], pool.ServerNotice{HasRateLimit: rnd.next()%2 == 0, RateLimit: 20, Leaving: rnd.next()%8 == 0}
				if rnd.next()%4 == 0 {
					n.Pause = time.Duration(rnd.next() % 3e9)
				}
				open = append(open[:i], open[i+1:]...)
				h := told[key(sentTo[d.Work])]
				told[key(sentTo[d.Work])] = heard{h.leaving || n.Leaving, max(h.pausedUntil, tb.now.Add(n.Pause))}
				tb.respond(d, []pool.EndState{pool.EndOK, pool.EndFailed, pool.EndShed, pool.EndDraining}[rnd.next()%4], n)
			default:
				d := tb.choose(nil)
				if d.Code != result.OK {
					continue
				}
				target := tb.servers[d.Server.ID].entry
				tb.now = tb.now.Add(d.Delay)
				if d.Delay > 0 && !tb.MaySend(tb.now, d.Work) {
					tb.End(tb.now, d.Work, pool.End{State: pool.EndAbandoned})
					continue
				}
				h := told[key(target)]
				require.False(t, h.leaving, "seed %d: sent to %s, which leaves", seed, key(target))
				require.GreaterOrEqual(t, tb.now, h.pausedUntil, "seed %d: sent to %s, which pauses", seed, key(target))
				sentTo[d.Work], open = target, append(open, d)
			}
			tb.Tick(tb.now)
		}
	}
}
