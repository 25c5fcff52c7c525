package gateway

import (
	"context"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/proxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

var _ proxy.Engine = (*Gateway)(nil)

// Routes returns the look-up table in force, or nil before the VM knows a document
// and the servers.
func (g *Gateway) Routes() *document.Index {
	if !g.serving.Load() {
		return nil
	}
	return g.index.Load()
}

// WaitReady waits until the VM knows servers and a document, or ctx ends.
func (g *Gateway) WaitReady(ctx context.Context) {
	select {
	case <-g.isReady:
	case <-ctx.Done():
	}
}

// Split chooses one of the route's backends by their weights.
func (g *Gateway) Split(m document.RouteMatch) (chosen fleet.Service) {
	g.do(func(fleet.Time) { chosen = g.balance.Split(m) })
	return chosen
}

// Acquire chooses a server at once; no request waits for another VM.
func (g *Gateway) Acquire(ctx context.Context, work pool.Work) (d pool.Decision) {
	if ctx.Err() != nil {
		return pool.Decision{Work: work.ID, Code: result.CallerGone}
	}
	g.do(func(now fleet.Time) { d = g.balance.Choose(now, work) })
	return d
}

// Release reports how the attempt ended.
func (g *Gateway) Release(id pool.WorkID, end pool.End) {
	g.do(func(now fleet.Time) { g.balance.End(now, id, end) })
}

// NextWork returns a new work number.
func (g *Gateway) NextWork() pool.WorkID { return pool.WorkID(g.nextWork.Add(1)) }

// MayRetry takes one repeat from the service's budget if there is one.
func (g *Gateway) MayRetry(service fleet.Service) (allowed bool) {
	g.do(func(now fleet.Time) { allowed = g.balance.MayRetry(now, service) })
	return allowed
}

// Reserve refuses: this VM keeps no records of idempotency keys. The dialect passes
// keys on to the servers, so the proxy does not ask.
func (g *Gateway) Reserve(context.Context, string, keys.Scope, uint64, fleet.Time) keys.Decision {
	return keys.Decision{Verdict: keys.VerdictRefuse, Code: result.KeyNoQuorum}
}

// Finish has nothing to do, since Reserve allows nothing.
func (g *Gateway) Finish(keys.ReserveID, keys.FinishState, *keys.Answer) {}

// Record logs an event.
func (g *Gateway) Record(e fleet.Event) {
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

// Draining reports that shutdown has begun.
func (g *Gateway) Draining() bool { return g.draining.Load() }
