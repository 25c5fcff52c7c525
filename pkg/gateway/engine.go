package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/proxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/quota"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

var _ proxy.Engine = (*Gateway)(nil)

// Routes returns the current routing index, or nil before the VM has a document and the list of servers.
func (g *Gateway) Routes() *document.Index {
	if !g.serving.Load() {
		return nil
	}
	return g.index.Load()
}

// WaitReady blocks until the VM has a document and the list of servers, or ctx ends.
func (g *Gateway) WaitReady(ctx context.Context) {
	select {
	case <-g.readyCh:
	case <-ctx.Done():
	}
}

// SelectBackend selects one of the route's backends in proportion to their weights.
func (g *Gateway) SelectBackend(m document.RouteMatch) (chosen fleet.Service) {
	g.update(func(fleet.Time) { chosen = g.balance.SelectBackend(m) })
	return chosen
}

// Acquire selects a server without the help of another VM. It waits if the rate limit of the selected server
// allows the request a little later.
func (g *Gateway) Acquire(ctx context.Context, work pool.Work) (d pool.Decision) {
	for queued := time.Duration(0); ctx.Err() == nil; queued += d.Delay {
		g.update(func(now fleet.Time) { d = g.balance.Choose(now, work) })
		d.Queued = queued + d.Delay
		if d.Code != result.OK || d.Delay == 0 {
			return d
		}
		if g.waitToSend(ctx, d) {
			return d
		}
		g.Release(d.Work, pool.End{State: pool.EndAbandoned})
		work.ID, work.LatencyObjective = g.NewWorkID(), work.LatencyObjective-d.Delay
		work.Exclude = append(slices.Clip(work.Exclude), d.Server.ID)
	}
	return pool.Decision{Work: work.ID, Code: result.CallerGone}
}

// waitToSend waits for the decision's delay and reports whether the work may then be sent to the server.
func (g *Gateway) waitToSend(ctx context.Context, d pool.Decision) (ok bool) {
	timer := time.NewTimer(d.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	g.update(func(now fleet.Time) { ok = g.balance.MaySend(now, d.Work) })
	return ok
}

// HandleNotice records what a response says about its server.
func (g *Gateway) HandleNotice(id pool.WorkID, n pool.ServerNotice) {
	g.update(func(now fleet.Time) { g.balance.HandleNotice(now, id, n) })
}

// Release reports the result of the attempt.
func (g *Gateway) Release(id pool.WorkID, end pool.End) {
	g.update(func(now fleet.Time) { g.balance.End(now, id, end) })
}

// NewWorkID returns a new work ID.
func (g *Gateway) NewWorkID() pool.WorkID { return pool.WorkID(g.nextWork.Add(1)) }

// MayRetry consumes one retry from the service's budget and reports whether one was available.
func (g *Gateway) MayRetry(service fleet.Service) (allowed bool) {
	g.update(func(now fleet.Time) { allowed = g.balance.MayRetry(now, service) })
	return allowed
}

// Reserve always refuses, because this VM stores no records of idempotency keys. The dialect forwards
// keys to the servers, so the proxy does not call it.
func (g *Gateway) Reserve(context.Context, string, keys.Scope, uint64, fleet.Time) keys.Decision {
	return keys.Decision{Verdict: keys.VerdictRefuse, Code: result.KeyNoQuorum}
}

// FinishReservation does nothing, because Reserve never grants a reservation.
func (g *Gateway) FinishReservation(keys.ReservationID, keys.FinishResult, *keys.StoredResponse) {}

// RecordEvent logs an event.
func (g *Gateway) RecordEvent(e fleet.Event) {
	kv := []any{"reason", e.Reason}
	add := func(name, value string) {
		if value != "" {
			kv = append(kv, name, value)
		}
	}
	add("service", string(e.Service))
	add("server", string(e.Server))
	add("request", e.Request)
	for name, value := range e.Detail {
		add(name, value)
	}
	g.log.Info(string(e.Kind), kv...)
}

// Draining reports whether shutdown has begun.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// TakeQuota takes one request from the quota of a workspace, if anything is left of it. Just after the start it waits
// until this VM has heard of the others' use.
func (g *Gateway) TakeQuota(workspace string) (retryAfter time.Duration, ok bool) {
	if wait := quota.StartDelay - time.Duration(g.Now()); wait > 0 {
		time.Sleep(wait)
	}
	g.update(func(now fleet.Time) { retryAfter, ok = g.quota.Take(now, workspace) })
	return retryAfter, ok
}

// ReturnQuota gives back a request that provably did not run.
func (g *Gateway) ReturnQuota(workspace string) {
	g.update(func(now fleet.Time) { g.quota.Return(now, workspace) })
}
