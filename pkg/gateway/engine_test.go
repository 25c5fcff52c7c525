package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

func (g *Gateway) putTestServer(id fleet.ServerID, state fleet.State) {
	entry := &registry.Entry{Server: fleet.Server{ID: id, Service: "desk", Addr: "127.0.0.1:1", Region: "addis", Zone: "addis-a", State: state}, Slots: 6, Seq: 1}
	g.update(func(now fleet.Time) { g.balance.Apply(now, []registry.Change{{ID: id, Entry: entry}}) })
}

func (g *Gateway) testWork() pool.Work {
	return pool.Work{ID: g.NewWorkID(), Service: "desk", Route: "book", Deadline: g.Now().Add(time.Minute), LatencyObjective: 10 * time.Second}
}

// newLimitedGateway returns a VM with one server, "a", that has just named a limit of 1.5 requests per second.
func newLimitedGateway(t *testing.T) *Gateway {
	g := newTestGateway(t)
	g.draining.Store(true) // without a store to read
	g.putTestServer("a", fleet.StateLive)
	d := g.Acquire(context.Background(), g.testWork())
	g.HandleNotice(d.Work, pool.ServerNotice{HasRateLimit: true, RateLimit: 1.5})
	return g
}

// Guards against a request that is sent before the rate limit of its server allows it.
func TestAcquireWaitsForRateLimit(t *testing.T) {
	g := newLimitedGateway(t)
	start := time.Now()
	d := g.Acquire(context.Background(), g.testWork())
	require.Equal(t, result.OK, d.Code)
	require.Positive(t, d.Delay)
	require.GreaterOrEqual(t, time.Since(start), d.Delay)
	require.Equal(t, d.Delay, d.Queued)
}

// Guards against a request that keeps its place at a server although its caller has left.
func TestAcquireEndsWithItsCaller(t *testing.T) {
	g := newLimitedGateway(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	d := g.Acquire(ctx, g.testWork())
	require.Equal(t, result.CallerGone, d.Code)
	zone, _ := g.balance.Reports(g.Now().Add(time.Minute))
	require.Len(t, zone.Loads, 1)
	require.Equal(t, 1, zone.Loads[0].InFlight, "only the first request is at the server")
}

// Guards against a request that waits for a server and is sent there although the server began to leave.
func TestAcquireChoosesAgainAfterItsWait(t *testing.T) {
	g := newLimitedGateway(t)
	time.AfterFunc(50*time.Millisecond, func() {
		g.putTestServer("a", fleet.StateLeaving)
		g.putTestServer("b", fleet.StateLive)
	})
	d := g.Acquire(context.Background(), g.testWork())
	require.Equal(t, result.OK, d.Code)
	require.Equal(t, fleet.ServerID("b"), d.Server.ID)
	require.GreaterOrEqual(t, d.Queued, 500*time.Millisecond)
}
