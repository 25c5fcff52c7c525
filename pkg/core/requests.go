package core

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// Index returns the index of the document in effect, or nil before the first document.
func (n *Node) Index() *document.Index { return n.index }

// Directory returns the current version of the platform's list, or nil before the first.
func (n *Node) Directory() *fleet.Directory { return n.dir }

// Config returns the configuration module for reads, appends and edits. The caller must
// call Settle after a change.
func (n *Node) Config() *configlog.Node { return n.config }

// Shards returns the module that tracks the ownership of shards.
func (n *Node) Shards() *shard.Manager { return n.shards }

// Settle processes the output of a direct call to a module.
func (n *Node) Settle(now fleet.Time) { n.settle(now) }

// Submit requests a slot. It returns true with an immediate decision; otherwise
// WorkDecisions returns the decision later.
func (n *Node) Submit(now fleet.Time, w pool.Work) (pool.Decision, bool) {
	d, decided := n.pools.Submit(now, w)
	n.settle(now)
	return d, decided
}

// Cancel withdraws work without a decision.
func (n *Node) Cancel(now fleet.Time, id pool.WorkID) {
	n.pools.Cancel(now, id)
	n.settle(now)
}

// End records the end of an attempt and frees its slot.
func (n *Node) End(now fleet.Time, id pool.WorkID, end pool.End) {
	n.pools.End(now, id, end)
	n.settle(now)
}

// MayRetry spends one retry of the service's retry budget if any is left.
func (n *Node) MayRetry(now fleet.Time, service fleet.Service) bool {
	return n.pools.MayRetry(now, service)
}

// WorkDecisions returns and clears the decisions on submitted work.
func (n *Node) WorkDecisions() []pool.Decision { return n.pools.Decisions() }

// Probes returns and clears the health probes to send.
func (n *Node) Probes() []pool.Probe { return n.pools.Probes() }

// RecordProbe records the result of a probe.
func (n *Node) RecordProbe(now fleet.Time, probe pool.Probe, passed bool) {
	n.pools.RecordProbe(now, probe.Pool, probe.Server.ID, passed)
	n.settle(now)
}

// PoolStatus returns this VM's view of each pool and its servers.
func (n *Node) PoolStatus() []pool.PoolStatus { return n.pools.Status() }

// WantedShards returns the shards that this VM's region needs.
func (n *Node) WantedShards() []shard.ID { return n.wanted }

// Reserve requests a reservation to run a request with an idempotency key.
// ReserveDecisions returns the decision.
func (n *Node) Reserve(now fleet.Time, id keys.ReservationID, workspace string, scope keys.Scope, fingerprint uint64, deadline fleet.Time) {
	n.keys.Reserve(now, id, workspace, scope, fingerprint, deadline)
	n.settle(now)
}

// Abandon withdraws a reservation without a decision.
func (n *Node) Abandon(now fleet.Time, id keys.ReservationID) {
	n.keys.Abandon(now, id)
	n.settle(now)
}

// Finish ends an admitted reservation.
func (n *Node) Finish(now fleet.Time, id keys.ReservationID, state keys.FinishResult, response *keys.StoredResponse) {
	n.keys.Finish(now, id, state, response)
	n.settle(now)
}

// ReserveDecisions returns and clears the decisions on reservations.
func (n *Node) ReserveDecisions() []keys.Decision { return n.keys.Decisions() }

// Resign starts the handover of this VM's shards before a shutdown.
func (n *Node) Resign(now fleet.Time) {
	n.shards.Resign(now)
	n.settle(now)
}

// Resigned reports whether this VM holds no shard and all ends of reservations are
// acknowledged.
func (n *Node) Resigned() bool { return n.shards.Resigned() && n.keys.PendingExchanges() == 0 }
