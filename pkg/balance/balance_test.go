package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

const (
	ms         = fleet.Time(time.Millisecond)
	second     = fleet.Time(time.Second)
	ticketDesk = fleet.Service("ticket-desk")
)

// testBalancer runs one VM's balancer on a fake clock.
type testBalancer struct {
	*Balancer
	t    *testing.T
	now  fleet.Time
	next pool.WorkID
}

func newTestBalancer(t *testing.T, servers ...string) *testBalancer {
	tb := &testBalancer{t: t, now: 20 * second, Balancer: New(Config{
		Self: "vm0", Region: "addis", Zone: "addis-a", Seed: 7,
		Prices: Prices{CrossZonePerKB: 0.005, CrossRegionPerKB: 0.04},
		Budget: RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 56},
	})}
	for _, id := range servers {
		tb.putServer(id, "addis", "addis-a", fleet.StateLive)
	}
	return tb
}

func (tb *testBalancer) putServer(id, region, zone string, state fleet.State) {
	tb.Apply(tb.now, []registry.Change{{ID: fleet.ServerID(id), Entry: &registry.Entry{
		Server: fleet.Server{ID: fleet.ServerID(id), Service: ticketDesk, Region: fleet.Region(region), Zone: fleet.Zone(zone), State: state, Addr: id},
		Slots:  6,
	}}})
}

func (tb *testBalancer) work(change func(*pool.Work)) pool.Work {
	tb.next++
	w := pool.Work{ID: tb.next, Service: ticketDesk, Route: "book", Deadline: tb.now.Add(2 * time.Second), LatencyObjective: time.Second, Priority: 1}
	if change != nil {
		change(&w)
	}
	return w
}

func (tb *testBalancer) choose(change func(*pool.Work)) pool.Decision {
	return tb.Choose(tb.now, tb.work(change))
}

// serve runs one request and ends it.
func (tb *testBalancer) serve(state pool.EndState, took time.Duration, change func(*pool.Work)) pool.Decision {
	d := tb.choose(change)
	require.Equal(tb.t, result.OK, d.Code)
	tb.now = tb.now.Add(took)
	tb.End(tb.now, d.Work, pool.End{State: state, Duration: took, RequestSent: true})
	return d
}

// reportHealthy reports a success of each server through another VM.
func (tb *testBalancer) reportHealthy(ids ...fleet.ServerID) {
	for _, id := range ids {
		tb.ApplyReport(tb.now, "vm9", Report{Zone: "addis-a", Observations: []Observation{{Server: id, Outcome: OutcomeOK}}})
	}
}

func idempotent(w *pool.Work) { w.Idempotent, w.MaxRetries = true, 1 }

// Guards against non-idempotent requests to a server that has just failed one.
func TestFailedServerGetsNoNonIdempotentRequests(t *testing.T) {
	tb := newTestBalancer(t, "a", "b", "c")
	tb.reportHealthy("a", "b", "c")
	tb.now = tb.now.Add(300 * time.Millisecond)
	bad := tb.serve(pool.EndFailed, time.Millisecond, nil).Server.ID
	for range 30 {
		require.NotEqual(t, bad, tb.serve(pool.EndOK, 50*time.Millisecond, nil).Server.ID)
	}
}

// Guards against non-idempotent requests to a server whose failure another VM reported.
func TestPeerObservationsCount(t *testing.T) {
	tb := newTestBalancer(t, "a", "b")
	tb.ApplyReport(tb.now, "vm1", Report{Zone: "addis-a", Observations: []Observation{{Server: "a", Outcome: OutcomeFailed}, {Server: "b", Outcome: OutcomeOK}}})
	for range 10 {
		require.Equal(t, fleet.ServerID("b"), tb.serve(pool.EndOK, 20*time.Millisecond, nil).Server.ID)
	}
}

// Guards against a suspect that is never used again, and against trials with a request
// that cannot be retried.
func TestSuspectIsTriedWithIdempotentRequest(t *testing.T) {
	tb := newTestBalancer(t, "a", "b")
	for range 40 {
		tb.serve(pool.EndOK, 50*time.Millisecond, idempotent)
	}
	bad := tb.serve(pool.EndFailed, time.Millisecond, nil).Server.ID
	tried := false
	for range 40 {
		require.NotEqual(t, bad, tb.serve(pool.EndOK, 20*time.Millisecond, nil).Server.ID)
		if d := tb.serve(pool.EndOK, 20*time.Millisecond, idempotent); d.Server.ID == bad {
			require.True(t, d.Trial)
			tried = true
			break
		}
	}
	require.True(t, tried)
}

// Guards against new requests to a server that is shutting down.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	tb := newTestBalancer(t, "a", "b")
	tb.putServer("a", "addis", "addis-a", fleet.StateLeaving)
	for range 10 {
		require.Equal(t, fleet.ServerID("b"), tb.serve(pool.EndOK, 20*time.Millisecond, nil).Server.ID)
	}
	tb.Apply(tb.now, []registry.Change{{ID: "b"}})
	require.Equal(t, result.NoServer, tb.choose(nil).Code)
}

// Guards against a retry at a server that already failed the request.
func TestExcludedServersAreNotChosen(t *testing.T) {
	tb := newTestBalancer(t, "a", "b")
	for range 10 {
		d := tb.choose(func(w *pool.Work) { w.Exclude, w.IsRetry = []fleet.ServerID{"a"}, true })
		require.Equal(t, fleet.ServerID("b"), d.Server.ID)
		tb.End(tb.now, d.Work, pool.End{State: pool.EndOK, Duration: time.Millisecond})
	}
}

// Guards against queueing at a server that is loaded by other VMs while another server has
// free slots.
func TestChoiceCountsLoadOfOtherVMs(t *testing.T) {
	tb := newTestBalancer(t, "a", "b")
	tb.ApplyReport(tb.now, "vm1", Report{Zone: "addis-a", Loads: []Load{{Server: "a", InFlight: 9}}})
	for range 6 {
		require.Equal(t, fleet.ServerID("b"), tb.choose(nil).Server.ID)
	}
	tb.now = tb.now.Add(2 * time.Second)
	tb.Tick(tb.now)
	require.Zero(t, tb.servers["a"].remote, "the load of a silent VM must expire")
}

// Guards against requests that cross regions while their own region has capacity, and
// against refusals while another region has capacity.
func TestOtherRegionIsUsedOnlyWithoutLocalServer(t *testing.T) {
	tb := newTestBalancer(t, "a")
	tb.reportHealthy("a")
	tb.putServer("far", "hawassa", "hawassa-a", fleet.StateLive)
	tb.ApplyDigest(tb.now, Digest{Zone: "hawassa-a", Services: []ServiceStats{{Service: ticketDesk, Requests: 1}}, Servers: []ServerEstimate{{Server: "far", Risk: 0.002}}})
	require.Equal(t, fleet.ServerID("a"), tb.serve(pool.EndOK, 20*time.Millisecond, nil).Server.ID)
	tb.Apply(tb.now, []registry.Change{{ID: "a"}})
	require.Equal(t, fleet.ServerID("far"), tb.choose(nil).Server.ID)
}

// Guards against a full service that accepts more than it can serve in time, and against
// accepting requests of low priority in place of those of high priority.
func TestLowPriorityIsRefusedFirst(t *testing.T) {
	tb := newTestBalancer(t, "a")
	for range 5 {
		tb.serve(pool.EndOK, 300*time.Millisecond, nil)
	}
	refused := map[int]int{}
	for n := range 40 {
		for priority := range 3 {
			d := tb.choose(func(w *pool.Work) { w.Priority = priority })
			if d.Code != result.OK {
				require.Equal(t, result.NoCapacity, d.Code)
				require.Positive(t, d.RetryAfter, "a refusal must carry a retry time")
				if _, seen := refused[priority]; !seen {
					refused[priority] = n
				}
			}
		}
	}
	require.Len(t, refused, 3)
	require.Less(t, refused[2], refused[1])
	require.LessOrEqual(t, refused[1], refused[0])
}

// Guards against VMs that together exceed the fleet's retry budget.
func TestRetryBudgetHoldsAcrossFleet(t *testing.T) {
	const vms = 32
	spent, requests := 0, 0
	for i := range vms {
		tb := newTestBalancer(t, "a")
		tb.SetVMs(vms)
		for range 40 {
			tb.now = tb.now.Add(250 * time.Millisecond)
			tb.serve(pool.EndFailed, time.Millisecond, nil)
			requests++
			for tb.MayRetry(tb.now, ticketDesk) {
				spent++
			}
		}
		_ = i
	}
	require.LessOrEqual(t, float64(spent), 0.2*float64(requests)+56)
	require.Greater(t, float64(spent), 0.15*float64(requests), "the budget must be usable")
}

// Guards against a restarted VM that spends the budget's slack a second time: the process
// before the restart may have spent it in the same window.
func TestNewVMHasNoRetrySlack(t *testing.T) {
	tb := newTestBalancer(t, "a")
	tb.now = second
	for range 4 {
		tb.serve(pool.EndFailed, time.Millisecond, nil)
	}
	require.False(t, tb.MayRetry(tb.now, ticketDesk))
}

// Guards against a selection of backends that deviates from the weights.
func TestSelectBackendFollowsWeights(t *testing.T) {
	tb := newTestBalancer(t)
	m := document.RouteMatch{Name: "menu", Route: document.Route{Backends: []document.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}}
	n := map[fleet.Service]int{}
	for range 300 {
		n[tb.SelectBackend(m)]++
	}
	require.InDelta(t, 270, n["a"], 3)
}

// Guards against healthy servers that stay idle for 2 s at a low request rate: their state
// would be unknown when they are needed.
func TestHealthyServersStayInUse(t *testing.T) {
	tb := newTestBalancer(t, "a", "b", "c")
	last := map[fleet.ServerID]fleet.Time{}
	for range 100 {
		d := tb.serve(pool.EndOK, 100*time.Millisecond, nil)
		last[d.Server.ID] = tb.now
		tb.now = tb.now.Add(200 * time.Millisecond)
	}
	for _, id := range []fleet.ServerID{"a", "b", "c"} {
		require.Less(t, tb.now.Sub(last[id]), 2*time.Second, id) // window in which a server must serve to count for the capacity floor
	}
}

// Guards against capacity below the floor when most servers are suspects because the
// service fails as a whole: all servers without a very recent failure must get requests.
func TestFailingServiceUsesAllServers(t *testing.T) {
	tb := newTestBalancer(t, "a", "b", "c", "d")
	for _, id := range []fleet.ServerID{"a", "b", "c", "d"} {
		tb.ApplyReport(tb.now, "vm1", Report{Zone: "addis-a", Observations: []Observation{{Server: id, Outcome: OutcomeFailed, Final: true}}})
	}
	tb.now = tb.now.Add(3 * time.Second)
	last := map[fleet.ServerID]fleet.Time{}
	for n := range 60 {
		state := pool.EndOK
		if n%6 == 0 {
			state = pool.EndFailed
		}
		d := tb.serve(state, 50*time.Millisecond, nil)
		last[d.Server.ID] = tb.now
		tb.now = tb.now.Add(50 * time.Millisecond)
	}
	for _, id := range []fleet.ServerID{"a", "b", "c", "d"} {
		require.Less(t, tb.now.Sub(last[id]), 4*time.Second, id)
	}
}

// Guards against a hanging server that is detected only when the deadline passes.
func TestLateAttemptMakesSuspect(t *testing.T) {
	tb := newTestBalancer(t, "a", "b")
	for range 20 {
		tb.serve(pool.EndOK, 100*time.Millisecond, nil)
	}
	hung := tb.choose(nil).Server.ID
	for range 2 {
		tb.choose(nil)
	}
	tb.now = tb.now.Add(600 * time.Millisecond)
	tb.Tick(tb.now)
	require.Greater(t, tb.servers[hung].health.riskAt(tb.now), suspectThreshold)
}

// Guards against healthy servers that become suspects because of short deadlines.
func TestShortDeadlineDoesNotChangeHealth(t *testing.T) {
	tb := newTestBalancer(t, "a")
	for range 20 {
		tb.serve(pool.EndOK, 300*time.Millisecond, nil)
	}
	before := tb.servers["a"].health.risk
	tb.serve(pool.EndTimeout, 100*time.Millisecond, nil)
	require.Equal(t, before, tb.servers["a"].health.risk)
}

// Guards against a new incarnation of a server that inherits the failures of the old one.
func TestNewIncarnationHasNoHistory(t *testing.T) {
	tb := newTestBalancer(t, "a")
	tb.serve(pool.EndFailed, time.Millisecond, nil)
	tb.Apply(tb.now, []registry.Change{{ID: "a", Entry: &registry.Entry{
		Server: fleet.Server{ID: "a", Service: ticketDesk, Region: "addis", Zone: "addis-a", State: fleet.StateLive, Addr: "a"}, Slots: 6, Incarnation: 9}}})
	require.InDelta(t, baselineRisk, tb.servers["a"].health.riskAt(tb.now), 0.001)
}

// Guards against healthy servers that become suspects because of occasional errors, and
// against failing servers that are not detected.
func TestFailureDetectionRates(t *testing.T) {
	tb := newTestBalancer(t)
	for i := range 20 {
		tb.putServer(fmt.Sprint("s", i), "addis", "addis-a", fleet.StateLive)
	}
	random := rng(3)
	failing := map[fleet.ServerID]bool{"s3": true, "s7": true, "s11": true, "s15": true}
	bookings, onFailing := 0, 0
	for range 4000 {
		change := idempotent
		if random.float() < 0.7 {
			change = nil
		}
		d := tb.choose(change)
		state, took := pool.EndOK, 30*time.Millisecond
		if rate := 0.012; random.float() < rate || failing[d.Server.ID] && random.float() < 0.85 {
			state, took = pool.EndFailed, time.Millisecond
		}
		if change == nil && tb.now > 25*second {
			bookings++
			if failing[d.Server.ID] {
				onFailing++
			}
		}
		tb.now = tb.now.Add(took)
		tb.End(tb.now, d.Work, pool.End{State: state, Duration: took})
	}
	require.Less(t, float64(onFailing)/float64(bookings), 0.02, "bookings at failing servers")
	healthySuspects := 0
	for id, s := range tb.servers {
		if !failing[id] && s.health.riskAt(tb.now) > suspectThreshold {
			healthySuspects++
		}
	}
	require.LessOrEqual(t, healthySuspects, 2)
}

// Guards against events of late attempts that do not distinguish a long request from a
// server that completes no requests.
func TestLateAttemptEventReportsServerActivity(t *testing.T) {
	for _, healthy := range []bool{true, false} {
		tb := newTestBalancer(t, "a")
		tb.reportHealthy("a")
		d := tb.choose(func(w *pool.Work) { w.RequestID = "req-1" })
		require.Equal(t, result.OK, d.Code)
		for range 6 {
			tb.now = tb.now.Add(200 * time.Millisecond)
			if healthy {
				tb.reportHealthy("a")
			}
			tb.Tick(tb.now)
		}
		var late []fleet.Event
		for _, e := range tb.Events() {
			if e.Kind == "attempt_late" {
				late = append(late, e)
			}
		}
		require.Len(t, late, 1)
		require.Equal(t, "req-1", late[0].Request)
		require.Equal(t, fleet.ServerID("a"), late[0].Server)
		want := "0"
		if !healthy {
			want = late[0].Detail["after_ms"]
		}
		require.Equal(t, want, late[0].Detail["served_ms_ago"])
	}
}

// Guards against a server that gets no requests for seconds because one of its requests
// takes long, while the service fails and needs every server for its capacity floor.
func TestLongRequestDoesNotIdleItsServer(t *testing.T) {
	tb := newTestBalancer(t, "a", "b", "c", "d", "e", "x")
	tb.reportHealthy("a", "b", "c", "d", "e")
	long := tb.choose(nil)
	require.Equal(t, result.OK, long.Code)
	tb.now = tb.now.Add(time.Second)
	tb.Tick(tb.now)
	begun, used := tb.now, false
	for i := 0; tb.now.Sub(begun) < 2*time.Second; i++ {
		if i%5 == 0 {
			tb.ApplyReport(tb.now, "vm9", Report{Zone: "addis-a", Observations: []Observation{{Server: "x", Outcome: OutcomeFailed, Final: true}}})
		}
		tb.Tick(tb.now)
		used = tb.serve(pool.EndOK, 20*time.Millisecond, nil).Server.ID == long.Server.ID || used
	}
	require.True(t, used)
}

// Guards against a cheaper server that is not considered because its zone is farther away: servers that are
// left out cost more by their transfer alone than the chosen one in all.
func TestFarServersAreLeftOutOnlyIfTheyCostMore(t *testing.T) {
	for seed := range uint64(200) {
		tb := newTestBalancer(t)
		rnd := rng(seed + 1)
		for i := range 30 {
			place := [][2]string{{"addis", "addis-a"}, {"addis", "addis-b"}, {"hawassa", "hawassa-a"}}[i%3]
			tb.putServer(fmt.Sprint("s", i), place[0], place[1], fleet.StateLive)
		}
		for i := range 30 {
			s := tb.servers[fleet.ServerID(fmt.Sprint("s", i))]
			s.health.risk, s.health.updated = rnd.float(), tb.now
			s.remote = int(rnd.next() % 9)
		}
		tb.ApplyDigest(tb.now, Digest{Zone: "hawassa-a", Services: []ServiceStats{{Service: ticketDesk, Requests: 1}}}) // the zone takes requests
		w := tb.work(func(w *pool.Work) { w.Bytes = int(rnd.next() % 8192) })
		svc := tb.service(ticketDesk)
		considered, _ := tb.candidates(tb.now, svc, w)
		best := considered[0]
		for _, c := range considered {
			if c.cost < best.cost {
				best = c
			}
		}
		for _, s := range tb.servers {
			if c := tb.evaluate(tb.now, s, tb.route(w.Route), w, 0); c.cost < best.cost-costJitter {
				require.Fail(t, "cheaper server", "seed %d: %s costs %f, chosen %f", seed, s.entry.Server.ID, c.cost, best.cost)
			}
		}
	}
}

// Guards against reports with impossible values, which must not change what this VM knows for good.
func TestImpossibleReportsAreIgnored(t *testing.T) {
	tb := newTestBalancer(t, "a", "b")
	tb.reportHealthy("a", "b")
	nan := float32(math.NaN())
	tb.ApplyReport(tb.now, "vm1", Report{Zone: "addis-a",
		Loads: []Load{{Server: "a", InFlight: math.MaxInt}, {Server: "a", InFlight: -5}, {Server: "none", InFlight: 3}},
		Observations: []Observation{
			{Server: "a", Outcome: OutcomeFailed, AgeMS: math.MaxInt64}, {Server: "a", Outcome: OutcomeFailed, AgeMS: -1},
			{Server: "a", Outcome: 200, Slowdown: nan}, {Server: "b", Outcome: OutcomeOK, Slowdown: float32(math.Inf(1))},
		}})
	require.Less(t, tb.servers["a"].health.riskAt(tb.now), suspectThreshold)
	require.Zero(t, tb.servers["a"].load())
	tb.ApplyDigest(tb.now, Digest{Zone: "addis-b",
		Servers:  []ServerEstimate{{Server: "a", Risk: nan, Load: math.MaxInt}},
		Services: []ServiceStats{{Service: ticketDesk, Failed: nan, Requests: float32(math.Inf(1)), Utilization: nan}}})
	require.GreaterOrEqual(t, tb.service(ticketDesk).failureRatio(tb.now), 0.0)
	require.False(t, math.IsNaN(tb.service(ticketDesk).failureRatio(tb.now)))
	require.Equal(t, result.OK, tb.choose(nil).Code)
	tb.now = tb.now.Add(20 * time.Second)
	tb.Tick(tb.now)
	require.Equal(t, result.OK, tb.choose(nil).Code)
}

// Guards against a service below its floor: while it fails, suspects with two long requests of other VMs get
// nothing for 2 s, although they may have recovered (seen on the bench: 6 of 13 sound servers).
func TestBusySuspectsAreUsedWhileServiceFails(t *testing.T) {
	ids := make([]string, 12)
	for i := range ids {
		ids[i] = fmt.Sprint("s", i)
	}
	tb := newTestBalancer(t, ids...)
	busy := Report{Zone: "addis-a"}
	for _, id := range ids[:5] {
		busy.Loads = append(busy.Loads, Load{Server: fleet.ServerID(id), InFlight: 2})
	}
	lastUse := map[fleet.ServerID]fleet.Time{}
	start := tb.now
	for i := 0; tb.now < start.Add(20*time.Second); i++ {
		tb.now = tb.now.Add(25 * time.Millisecond)
		tb.ApplyReport(tb.now, "vm1", Report{Zone: busy.Zone, Loads: slices.Clone(busy.Loads)})
		d := tb.choose(nil)
		state := pool.EndOK
		if slices.Contains(ids[:5], string(d.Server.ID)) || i%9 == 0 {
			state = pool.EndFailed
		}
		tb.End(tb.now, d.Work, pool.End{State: state, Duration: 20 * time.Millisecond, RequestSent: true})
		lastUse[d.Server.ID] = tb.now
		idle := 0
		for _, id := range ids {
			if tb.now.Sub(max(lastUse[fleet.ServerID(id)], start)) >= 2*time.Second {
				idle++
			}
		}
		require.LessOrEqual(t, idle, 3, "at %s", tb.now.Sub(start))
	}
}

// Guards against a VM with a bad path to a server that makes all VMs of the zone avoid it: only the
// VM itself must, while others are served there.
func TestBadPathOfOneVMDoesNotSuspectServer(t *testing.T) {
	tb := newTestBalancer(t, "a", "b")
	tb.reportHealthy("a", "b")
	path := func(vm string, outcomes ...Outcome) {
		for _, o := range outcomes {
			tb.now = tb.now.Add(100 * time.Millisecond)
			tb.ApplyReport(tb.now, fleet.VMID(vm), Report{Zone: "addis-a", Observations: []Observation{{Server: "a", Outcome: o, Final: true}}})
		}
	}
	path("vm1", OutcomeUnreachable, OutcomeLate, OutcomeLate, OutcomeTimeout, OutcomeUnreachable, OutcomeTimeout)
	require.Less(t, tb.servers["a"].health.riskAt(tb.now), suspectThreshold)
	path("vm2", OutcomeLate)
	path("vm3", OutcomeLate, OutcomeUnreachable)
	require.Greater(t, tb.servers["a"].health.riskAt(tb.now), suspectThreshold, "the server hangs for several VMs")
}

// Guards against a server that counts as used because of requests that did not reach it.
func TestUnreachedServerIsIdle(t *testing.T) {
	tb := newTestBalancer(t, "a")
	before := tb.servers["a"].lastUsed
	tb.now = tb.now.Add(time.Second)
	tb.serve(pool.EndUnreachable, 300*time.Millisecond, nil)
	require.Equal(t, before, tb.servers["a"].lastUsed)
}
