package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// respond ends an attempt with a response that was received now.
func (tb *testBalancer) respond(d pool.Decision, state pool.EndState, n pool.ServerNotice) {
	if n != (pool.ServerNotice{}) {
		tb.HandleNotice(tb.now, d.Work, n)
	}
	tb.End(tb.now, d.Work, pool.End{State: state, Duration: 50 * time.Millisecond, RequestSent: true, RespondedAt: tb.now, Notice: n})
}

func rateLimited(rate float64) pool.ServerNotice {
	return pool.ServerNotice{HasRateLimit: true, RateLimit: rate}
}

// newLimitedBalancer returns a balancer whose only server "a" has just named a limit.
func newLimitedBalancer(t *testing.T, rate float64) *testBalancer {
	tb := newTestBalancer(t, "a")
	tb.respond(tb.choose(nil), pool.EndOK, rateLimited(rate))
	return tb
}

// countSent sends a request every 10 ms and returns how many reach a server at once or after a delay.
func (tb *testBalancer) countSent(d time.Duration, n pool.ServerNotice) int {
	sent := 0
	for end := tb.now.Add(d); tb.now < end; tb.now = tb.now.Add(10 * time.Millisecond) {
		if d := tb.choose(nil); d.Code == result.OK {
			sent++
			tb.respond(d, pool.EndOK, n)
		}
	}
	return sent
}

// limitUse is a report of another VM's use of server "a".
func limitUse(starts, recent uint32) Report {
	return Report{Zone: "addis-a", Notices: []ServerNotice{{Server: "a", Starts: starts, Recent: recent, AgeMS: -1}}}
}

// Guards against requests beyond a limit, and against a limit that is left unused.
func TestRateLimitIsUsedUp(t *testing.T) {
	for _, rate := range []float64{0.5, 1.7, 4.2, 30} {
		tb := newLimitedBalancer(t, rate)
		require.InDelta(t, 20*rate, tb.countSent(20*time.Second, rateLimited(rate)), 1+rate, rate)
	}
}

// Guards against VMs that each use the whole limit: what others report is taken from it.
func TestRateLimitIsSharedWithOtherVMs(t *testing.T) {
	tb := newLimitedBalancer(t, 4)
	sent := 0
	for i := range uint32(40) { // another VM sends 3 of the 4 requests a second
		tb.ApplyReport(tb.now, "vm1", limitUse(3*i, 1))
		sent += tb.countSent(time.Second, rateLimited(4))
	}
	require.InDelta(t, 40, sent, 6)
}

// Guards against counts of other VMs that hold a server back for long: those of the time before this VM
// heard of the limit, of a restarted process, and from a report that is late.
func TestCountsOfOtherVMsAreNotChargedTwice(t *testing.T) {
	tb := newLimitedBalancer(t, 4)
	tb.ApplyReport(tb.now, "vm1", limitUse(1000, 1))
	for range 20 {
		tb.ApplyReport(tb.now, "vm1", limitUse(1000, 1))
	}
	tb.ApplyReport(tb.now, "vm1", limitUse(2, 2))
	require.InDelta(t, 40, tb.countSent(10*time.Second, rateLimited(4)), 4)
}

// Guards against a server that is never used again after a wrong report.
func TestDebtIsBounded(t *testing.T) {
	tb := newLimitedBalancer(t, 4)
	tb.ApplyReport(tb.now, "vm1", limitUse(0, 0))
	tb.ApplyReport(tb.now, "vm1", limitUse(math.MaxUint32, 1))
	tb.now = tb.now.Add(maxLimitDebt + time.Second)
	require.Equal(t, result.OK, tb.choose(nil).Code)
}

// Guards against impossible values in reports and digests.
func TestImpossibleLimitsAreIgnored(t *testing.T) {
	tb := newTestBalancer(t, "a")
	for _, rate := range []float32{float32(math.NaN()), float32(math.Inf(1)), math.MaxFloat32, -1} {
		tb.ApplyReport(tb.now, "vm1", Report{Zone: "addis-a", Notices: []ServerNotice{{Server: "a", Named: true, Rate: rate}}})
		tb.ApplyDigest(tb.now, Digest{Zone: "addis-a", Servers: []ServerEstimate{{Server: "a", Risk: 0.1, Limit: rate}}})
	}
	for _, age := range []int64{math.MinInt64, math.MaxInt64} {
		tb.ApplyReport(tb.now, "vm1", Report{Zone: "addis-a", Notices: []ServerNotice{{Server: "a", Named: true, Rate: 1, AgeMS: age}}})
	}
	limited, _, _ := tb.NoticeCounts(tb.now)
	require.Zero(t, limited)
	require.Equal(t, result.OK, tb.choose(nil).Code)
}

// Guards against a limit that outlives its naming, and one that ends although the server still names it: only
// a served response that is later than the latest one with the limit ends it.
func TestRateLimitEndsWithAServedResponse(t *testing.T) {
	end := func(state pool.EndState, n pool.ServerNotice, age time.Duration) bool {
		tb := newLimitedBalancer(t, 30)
		tb.now = tb.now.Add(time.Second)
		d := tb.choose(nil)
		tb.End(tb.now, d.Work, pool.End{State: state, RequestSent: true, RespondedAt: tb.now.Add(-age), Notice: n})
		limited, _, _ := tb.NoticeCounts(tb.now)
		return limited == 0
	}
	require.True(t, end(pool.EndOK, pool.ServerNotice{}, 0))
	require.False(t, end(pool.EndOK, rateLimited(30), 0))
	require.False(t, end(pool.EndOK, pool.ServerNotice{InvalidRateLimit: true}, 0))
	require.False(t, end(pool.EndOK, pool.ServerNotice{}, 2*time.Second), "a response that began before the limit")
	require.False(t, end(pool.EndFailed, pool.ServerNotice{}, 0))
	require.False(t, end(pool.EndAbandoned, pool.ServerNotice{}, 0))
}

// Guards against a server that names a limit of 0 and is never asked again, so that nobody sees the limit end.
func TestServerWithLimitZeroIsStillUsed(t *testing.T) {
	tb := newLimitedBalancer(t, 0)
	sent := tb.countSent(40*time.Second, rateLimited(0))
	require.GreaterOrEqual(t, sent, 5)
	require.LessOrEqual(t, sent, 11)
}

// Guards against a limit that only the VM knows to which the server named it.
func TestOtherVMsLearnOfTheLimit(t *testing.T) {
	first, second := newLimitedBalancer(t, 2), newTestBalancer(t, "a")
	zone, region := first.Reports(first.now.Add(time.Second))
	for _, r := range []*Report{zone, region} {
		require.Len(t, r.Notices, 1)
		second.ApplyReport(second.now, "vm0", *r)
	}
	require.InDelta(t, 20, second.countSent(10*time.Second, rateLimited(2)), 3)

	started := newTestBalancer(t, "a")
	started.ApplyDigest(started.now, first.Digest(first.now))
	require.InDelta(t, 20, started.countSent(10*time.Second, rateLimited(2)), 3)
}

// Guards against all VMs of a large zone that send requests to a server in the moment in which its limit
// allows one, and against servers that no VM uses.
func TestFewVMsUseALimit(t *testing.T) {
	const vms, servers = 40, 30
	users := make(map[fleet.ServerID]int)
	for i := range vms {
		var ids []string
		for n := range servers {
			ids = append(ids, fmt.Sprint("s", n))
		}
		tb := newTestBalancer(t, ids...)
		tb.cfg.Self = fleet.VMID(fmt.Sprint("vm", i))
		for other := range vms {
			if other != i {
				tb.ApplyReport(tb.now, fleet.VMID(fmt.Sprint("vm", other)), Report{Zone: "addis-a"})
			}
		}
		for id, s := range tb.servers {
			if tb.usesLimit(tb.now, s) {
				users[id]++
			}
		}
	}
	require.Len(t, users, servers)
	for id, n := range users {
		require.Equal(t, maxLimitUsers, n, id)
	}
}

// Guards against a request that is sent after its wait to a server that began to leave, or that restarted.
func TestWaitingRequestChecksItsServerAgain(t *testing.T) {
	for name, change := range map[string]func(*testBalancer){
		"leaves":  func(tb *testBalancer) { tb.putServer("a", "addis", "addis-a", fleet.StateLeaving) },
		"is gone": func(tb *testBalancer) { tb.Apply(tb.now, []registry.Change{{ID: "a"}}) },
		"restarts": func(tb *testBalancer) {
			e := tb.servers["a"].entry
			e.Incarnation++
			tb.Apply(tb.now, []registry.Change{{ID: "a", Entry: &e}})
		},
	} {
		tb := newLimitedBalancer(t, 4)
		d := tb.choose(nil)
		require.Positive(t, d.Delay)
		require.True(t, tb.MaySend(tb.now, d.Work))
		change(tb)
		require.False(t, tb.MaySend(tb.now, d.Work), name)
	}
}

// Guards against a request that waits for a limit although it could be refused at once, and against a refusal
// that does not say when to come back.
func TestRequestWithoutTimeToWaitIsRefused(t *testing.T) {
	tb := newLimitedBalancer(t, 0.5)
	d := tb.choose(nil)
	require.Equal(t, result.NoCapacity, d.Code)
	require.Greater(t, d.RetryAfter, time.Second)
	require.Equal(t, 1, d.Selection.Held)
}

// newRemoteBalancer returns a balancer whose only server "a" is in another region and names a limit, as a digest says.
func newRemoteBalancer(t *testing.T, rate float32) *testBalancer {
	tb := newTestBalancer(t)
	tb.putServer("a", "hawassa", "hawassa-a", fleet.StateLive)
	tb.ApplyDigest(tb.now, Digest{Zone: "hawassa-a", Servers: []ServerEstimate{{Server: "a", Risk: 0.1, Limit: rate}}})
	return tb
}

// Guards against a VM of another region that sends a server with a limit its whole load once it has not heard of the
// limit for a while, and against one that never notices that the limit has ended.
func TestOtherRegionsUseASmallPartOfALimit(t *testing.T) {
	for _, rate := range []float32{0.5, 4, 60} {
		tb := newRemoteBalancer(t, rate)
		told := Digest{Zone: "hawassa-a", Servers: []ServerEstimate{{Server: "a", Risk: 0.1, Limit: rate, LimitAgeMS: 9000}}}
		for range 20 {
			require.Zero(t, tb.countSent(time.Second, rateLimited(float64(rate))), "the VMs of its region use the limit")
			tb.ApplyDigest(tb.now, told)
		}
		tb.now = tb.now.Add(remoteLimitTTL)
		for range 5 {
			sent := tb.countSent(20*time.Second, rateLimited(float64(rate)))
			share := max(minRemoteLimitRate, remoteLimitShare*float64(rate))
			require.InDelta(t, 20*share, sent, 1+share*maxLimitWait.Seconds(), rate)
		}
		require.Greater(t, tb.countSent(20*time.Second, pool.ServerNotice{}), 500, "the limit has ended")
	}
}

// Guards against all VMs of a region that each use the part which their region may use.
func TestOneVMOfAnotherRegionUsesALimit(t *testing.T) {
	const vms = 6
	users := 0
	for i := range vms {
		tb := newRemoteBalancer(t, 2)
		tb.cfg.Self = fleet.VMID(fmt.Sprint("vm", i))
		for other := range vms {
			if other != i {
				tb.ApplyReport(tb.now, fleet.VMID(fmt.Sprint("vm", other)), Report{Zone: fleet.Zone(fmt.Sprint("addis-", other%2))})
			}
		}
		tb.now = tb.now.Add(remoteLimitTTL)
		if tb.choose(nil).Code == result.OK {
			users++
		}
	}
	require.Equal(t, 1, users)
}

// Guards against a digest of a VM that does not know of a limit, for example since it has just started, and ends it.
func TestIgnorantDigestEndsNoLimit(t *testing.T) {
	started := newTestBalancer(t)
	started.cfg.Zone = "addis-b"
	started.putServer("a", "addis", "addis-b", fleet.StateLive)
	started.choose(nil) // in flight, so that the server is in the digest
	d := started.Digest(started.now)
	require.Len(t, d.Servers, 1)

	tb := newLimitedBalancer(t, 0.25)
	for range 10 {
		tb.now = tb.now.Add(2 * time.Second)
		tb.ApplyDigest(tb.now, d)
		limited, _, _ := tb.NoticeCounts(tb.now)
		require.Equal(t, 1, limited)
	}
}

// Guards against a VM that holds on to a limit whose end it did not hear of, and against an end that is older than the
// limit: a digest tells both with the age of the response.
func TestDigestTellsTheEndOfALimit(t *testing.T) {
	limited := func(tb *testBalancer) bool { n, _, _ := tb.NoticeCounts(tb.now); return n == 1 }
	sender := newLimitedBalancer(t, 4)
	sender.now = sender.now.Add(3 * time.Second)
	sender.respond(sender.choose(nil), pool.EndOK, pool.ServerNotice{})
	sender.now = sender.now.Add(2 * time.Second)
	ended := sender.Digest(sender.now)
	require.Len(t, ended.Servers, 1, "the end is told although the server is idle")

	tb := newLimitedBalancer(t, 4)
	tb.now = tb.now.Add(time.Second)
	tb.ApplyDigest(tb.now, ended)
	require.True(t, limited(tb), "the limit was named after the end that the digest reports")
	tb.now = tb.now.Add(4 * time.Second)
	tb.ApplyDigest(tb.now, ended)
	require.False(t, limited(tb))

	sender.now = sender.now.Add(limitEndTTL)
	require.False(t, sender.servers["a"].notices.limit.isNews(sender.now))
	sender.choose(nil)
	require.True(t, sender.Digest(sender.now).Servers[0].Unlimited, "a server in use")
}

// Guards against a VM that has just started and learns of a limit only from responses: the others tell it when they
// first hear it, also of responses from before its start.
func TestStartedVMIsToldOfLimits(t *testing.T) {
	first := newLimitedBalancer(t, 0.5)
	leaving := fleet.ServerID("b")
	first.putServer("b", "addis", "addis-a", fleet.StateLive)
	first.servers[leaving].notices.leaving = true
	first.now = first.now.Add(30 * time.Second)
	_, _ = first.Reports(first.now)
	started := newTestBalancer(t, "a", "b")
	started.now = second / 10
	first.ApplyReport(first.now, "vm1", Report{Zone: "addis-a"})
	zone, region := first.Reports(first.now.Add(100 * time.Millisecond))
	for _, r := range []*Report{zone, region} {
		require.NotNil(t, r)
		require.Len(t, r.Notices, 2)
	}
	started.ApplyReport(started.now, "vm0", *zone)
	limited, left, _ := started.NoticeCounts(started.now)
	require.Equal(t, []int{1, 1}, []int{limited, left})
	// A later response counts, and an earlier one does not, although both came before the start.
	started.ApplyReport(started.now, "vm2", Report{Zone: "addis-a", Notices: []ServerNotice{{Server: "a", AgeMS: 40_000}}})
	limited, _, _ = started.NoticeCounts(started.now)
	require.Equal(t, 1, limited)
	started.ApplyReport(started.now, "vm2", Report{Zone: "addis-a", Notices: []ServerNotice{{Server: "a", AgeMS: 20_000}}})
	limited, _, _ = started.NoticeCounts(started.now)
	require.Zero(t, limited)
}

// Guards against a limit that is forgotten because the response that names it arrives when the server's registration is
// missing.
func TestLimitNamedAfterRemovalIsKept(t *testing.T) {
	tb := newTestBalancer(t, "a")
	d, e := tb.choose(nil), tb.servers["a"].entry
	tb.Apply(tb.now, []registry.Change{{ID: "a"}})
	tb.respond(d, pool.EndOK, rateLimited(2))
	tb.Apply(tb.now, []registry.Change{{ID: "a", Entry: &e}})
	require.Equal(t, 500*time.Millisecond, tb.choose(nil).Delay)
	require.InDelta(t, 20, tb.countSent(10*time.Second, rateLimited(2)), 3)
}
