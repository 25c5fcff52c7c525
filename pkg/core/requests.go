package core

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// Index returns the document in force, or nil before the first.
func (n *Node) Index() *document.Index { return n.index }

// Directory returns the reading of the platform's list in force, or nil.
func (n *Node) Directory() *fleet.Directory { return n.dir }

// Config returns the configuration module, for reads, appends and edits. Settle must
// be called after a call that changes it.
func (n *Node) Config() *configlog.Node { return n.config }

// Shards answers who owns each shard.
func (n *Node) Shards() *shard.Manager { return n.shards }

// Settle passes on what a call to a module produced.
func (n *Node) Settle(now fleet.Time) { n.settle(now) }

// Submit asks for a slot. It answers with true when the decision is made at once;
// otherwise WorkDecisions returns it later.
func (n *Node) Submit(now fleet.Time, w pool.Work) (pool.Decision, bool) {
	d, decided := n.pools.Submit(now, w)
	n.settle(now)
	return d, decided
}

// Cancel withdraws work that has no decision yet.
func (n *Node) Cancel(now fleet.Time, id pool.WorkID) {
	n.pools.Cancel(now, id)
	n.settle(now)
}

// End reports how an attempt on a server ended and frees its slot.
func (n *Node) End(now fleet.Time, id pool.WorkID, end pool.End) {
	n.pools.End(now, id, end)
	n.settle(now)
}

// MayRetry takes one repeat from the service's budget, if there is one.
func (n *Node) MayRetry(now fleet.Time, service fleet.Service) bool {
	return n.pools.MayRetry(now, service)
}

// WorkDecisions returns and clears the decisions on submitted work.
func (n *Node) WorkDecisions() []pool.Decision { return n.pools.Decisions() }

// Probes returns and clears the health probes to send.
func (n *Node) Probes() []pool.Probe { return n.pools.Probes() }

// Probed reports whether a probe passed.
func (n *Node) Probed(now fleet.Time, probe pool.Probe, passed bool) {
	n.pools.Probed(now, probe.Pool, probe.Server.ID, passed)
	n.settle(now)
}

// PoolStatus returns what this VM knows of each pool and its servers.
func (n *Node) PoolStatus() []pool.PoolStatus { return n.pools.Status() }

// WantedShards returns the shards that this VM's region should have.
func (n *Node) WantedShards() []shard.ID { return n.wanted }

// Reserve asks for the right to run a request with an idempotency key.
// ReserveDecisions returns the answer.
func (n *Node) Reserve(now fleet.Time, id keys.ReserveID, workspace string, scope keys.Scope, fingerprint uint64, deadline fleet.Time) {
	n.keys.Reserve(now, id, workspace, scope, fingerprint, deadline)
	n.settle(now)
}

// Abandon withdraws a reservation that has no decision yet.
func (n *Node) Abandon(now fleet.Time, id keys.ReserveID) {
	n.keys.Abandon(now, id)
	n.settle(now)
}

// Finish ends a reservation that was admitted.
func (n *Node) Finish(now fleet.Time, id keys.ReserveID, state keys.FinishState, answer *keys.Answer) {
	n.keys.Finish(now, id, state, answer)
	n.settle(now)
}

// ReserveDecisions returns and clears the decisions on reservations.
func (n *Node) ReserveDecisions() []keys.Decision { return n.keys.Decisions() }

// Resign starts to hand over this VM's shards, for a shutdown.
func (n *Node) Resign(now fleet.Time) {
	n.shards.Resign(now)
	n.settle(now)
}

// Resigned reports that no shard is held and that every end of a key is acknowledged.
func (n *Node) Resigned() bool { return n.shards.Resigned() && n.keys.Unsettled() == 0 }
