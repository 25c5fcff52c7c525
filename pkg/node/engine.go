package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// withCore runs call with mu held and dispatches the core's outputs.
func (n *Node) withCore(call func(now fleet.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	call(n.Now())
	n.dispatchOutputs()
}

// dispatchOutputs sends the core's messages, delivers its decisions to the waiters and records
// its events. The caller holds mu.
func (n *Node) dispatchOutputs() {
	for _, e := range n.core.Outbox() {
		n.links.Send(e)
	}
	for _, d := range n.core.WorkDecisions() {
		if waiter, ok := n.workWaiters[d.Work]; ok {
			delete(n.workWaiters, d.Work)
			waiter <- d
		}
	}
	for _, d := range n.core.ReserveDecisions() {
		if waiter, ok := n.reserveWaiters[d.Reservation]; ok {
			delete(n.reserveWaiters, d.Reservation)
			waiter <- d
		}
	}
	for _, v := range n.core.Config().Settled() {
		for _, waiter := range n.editWaiters[v.ID] {
			waiter <- v
		}
		delete(n.editWaiters, v.ID)
	}
	for _, e := range n.core.Events() {
		n.RecordEvent(e)
	}
	if index := n.core.Index(); index != n.index.Load() {
		n.index.Store(index)
	}
}

// Routes returns the current routing table, or nil before the first document.
func (n *Node) Routes() *document.Index { return n.index.Load() }

// WaitReady returns at once, since a node without a document rejects requests instead of holding them back.
func (n *Node) WaitReady(context.Context) {}

// SelectBackend picks one of the route's backends at random according to their weights.
func (n *Node) SelectBackend(m document.RouteMatch) fleet.Service {
	return m.SelectBackend(rand.Float64())
}

// Acquire waits for a server slot. It returns the code CallerGone if ctx ends first.
func (n *Node) Acquire(ctx context.Context, work pool.Work) pool.Decision {
	d := n.acquire(ctx, work)
	if d.Code == result.OK && n.cfg.Observer != nil {
		n.cfg.Observer.Acquired(work, d)
	}
	return d
}

func (n *Node) acquire(ctx context.Context, work pool.Work) pool.Decision {
	waiter := make(chan pool.Decision, 1)
	var decision pool.Decision
	var decided bool
	n.withCore(func(now fleet.Time) {
		n.workWaiters[work.ID] = waiter
		if decision, decided = n.core.Submit(now, work); decided {
			delete(n.workWaiters, work.ID)
		}
	})
	if decided {
		return n.withAddress(decision)
	}
	select {
	case d := <-waiter:
		return n.withAddress(d)
	case <-ctx.Done():
	}
	n.withCore(func(now fleet.Time) {
		if _, waiting := n.workWaiters[work.ID]; waiting {
			delete(n.workWaiters, work.ID)
			n.core.Cancel(now, work.ID)
		}
	})
	select {
	case d := <-waiter: // decided before it was cancelled
		if d.Code == result.OK {
			n.release(work.ID, pool.End{State: pool.EndAbandoned})
		}
	default:
	}
	return pool.Decision{Work: work.ID, Code: result.CallerGone}
}

func (n *Node) withAddress(d pool.Decision) pool.Decision {
	if d.Code == result.OK && n.cfg.MapServerAddr != nil {
		d.Server.Addr = n.cfg.MapServerAddr(d.Server)
	}
	return d
}

// HandleNotice does nothing: the end of an attempt carries its notice, and the default dialect has none but a shutdown.
func (n *Node) HandleNotice(pool.WorkID, pool.ServerNotice) {}

// Release reports the end of an attempt and frees its slot.
func (n *Node) Release(id pool.WorkID, end pool.End) {
	if n.cfg.Observer != nil {
		n.cfg.Observer.Released(id, end)
	}
	n.release(id, end)
}

func (n *Node) release(id pool.WorkID, end pool.End) {
	n.withCore(func(now fleet.Time) { n.core.End(now, id, end) })
}

// MayRetry takes one retry from the service's budget. It returns false if the budget is spent.
func (n *Node) MayRetry(service fleet.Service) (allowed bool) {
	n.withCore(func(now fleet.Time) { allowed = n.core.MayRetry(now, service) })
	return allowed
}

// Reserve requests permission to execute a request with an idempotency key. It returns VerdictRefuse
// with the code KeyNoQuorum if ctx ends first.
func (n *Node) Reserve(ctx context.Context, workspace string, scope keys.Scope, fingerprint uint64, deadline fleet.Time) keys.Decision {
	id := keys.ReservationID(n.lastID.Add(1))
	waiter := make(chan keys.Decision, 1)
	n.withCore(func(now fleet.Time) {
		n.reserveWaiters[id] = waiter
		n.core.Reserve(now, id, workspace, scope, fingerprint, deadline)
	})
	select {
	case d := <-waiter:
		return d
	case <-ctx.Done():
	}
	n.withCore(func(now fleet.Time) {
		if _, waiting := n.reserveWaiters[id]; waiting {
			delete(n.reserveWaiters, id)
			n.core.Abandon(now, id)
		}
	})
	select {
	case d := <-waiter: // decided before it was abandoned
		if d.Verdict == keys.VerdictRun {
			n.FinishReservation(id, keys.FinishNotRun, nil)
		}
	default:
	}
	return keys.Decision{Reservation: id, Verdict: keys.VerdictRefuse, Code: result.KeyNoQuorum}
}

// FinishReservation ends a reservation that got VerdictRun.
func (n *Node) FinishReservation(id keys.ReservationID, state keys.FinishResult, response *keys.StoredResponse) {
	n.withCore(func(now fleet.Time) { n.core.Finish(now, id, state, response) })
}

// TakeQuota admits every request: quotas are enforced by package gateway only.
func (n *Node) TakeQuota(string) (retryAfter time.Duration, ok bool) { return 0, true }

// ReturnQuota does nothing, because TakeQuota takes nothing.
func (n *Node) ReturnQuota(string) {}

// RecordEvent writes an event to the journal and to the log.
func (n *Node) RecordEvent(event fleet.Event) {
	event.VM = n.self.VM
	n.journal.Record(event)
	n.log.V(1).Info("event", "kind", event.Kind, "service", event.Service, "server", event.Server, "reason", event.Reason)
}

// PoolStatus returns this VM's state of each pool and its servers.
func (n *Node) PoolStatus() []pool.PoolStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.PoolStatus()
}
