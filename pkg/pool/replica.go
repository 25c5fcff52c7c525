package pool

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

var _ shard.Replica = (*Pools)(nil)

func (p *Pools) shardPool(id shard.ID) *pool {
	return p.poolFor(fleet.PoolID{Service: id.Service, Region: id.Region})
}

// Export implements shard.Replica. It returns the ejected set with its history.
func (p *Pools) Export(id shard.ID) ([]byte, error) {
	pl := p.shardPool(id)
	if pl.coord == nil {
		return nil, result.Errorf(result.NotFound, "no coordinator state for %s", id)
	}
	data, err := msgpack.Marshal(pl.coord.exportState(p.now))
	if err != nil {
		return nil, result.Errorf(result.Internal, "encode coordinator state of %s: %v", id, err)
	}
	return data, nil
}

// Import implements shard.Replica. It replaces the ejected set.
func (p *Pools) Import(id shard.ID, state []byte) error {
	var es EjectionState
	if err := msgpack.Unmarshal(state, &es); err != nil {
		return result.Errorf(result.Internal, "decode coordinator state of %s: %v", id, err)
	}
	pl := p.shardPool(id)
	if pl.coord == nil {
		pl.coord = newCoord(pl)
	}
	pl.coord.importState(p.now, es)
	return nil
}

// Reset implements shard.Replica. It starts with an empty ejected set. Clients may still
// enforce ejections that are unknown here, so no server is ejected until their leases
// have ended.
func (p *Pools) Reset(id shard.ID, now fleet.Time) {
	p.beginCall(now)
	pl := p.shardPool(id)
	pl.coord = newCoord(pl)
	pl.coord.ejectFrom = now.Add(ejectionLease + ejectionMargin)
}

// RoleChanged implements shard.Replica. It applies a new role or version.
func (p *Pools) RoleChanged(id shard.ID, now fleet.Time, role shard.Role, view shard.View) {
	p.beginCall(now)
	pl := p.shardPool(id)
	if pl.coord == nil {
		pl.coord = newCoord(pl)
	}
	pl.coord.activate(now, role, view)
	pl.client.syncSoon = true
}

// Discard implements shard.Replica. It discards the coordinator state.
func (p *Pools) Discard(id shard.ID) { p.shardPool(id).coord = nil }

// exportState returns the ejected set with ages, and the remaining time without ejections
// after a loss of state, which a copy must observe too when it takes over.
func (c *coord) exportState(now fleet.Time) EjectionState {
	var es EjectionState
	if left := c.ejectFrom.Sub(now); left > 0 {
		es.EjectDelayMS = left.Milliseconds() + 1
	}
	for _, e := range c.ejections {
		rec := EjectionRecord{Server: e.server, Phase: uint8(e.phase), Age: now.Sub(e.since).Milliseconds(), Score: e.score, Cause: e.cause}
		for _, t := range e.history {
			rec.History = append(rec.History, now.Sub(t).Milliseconds())
		}
		es.Ejections = append(es.Ejections, rec)
	}
	return es
}

// importState replaces the ejected set. Ages do not include the time in transit, so every
// end computed here is later than at the sender.
func (c *coord) importState(now fleet.Time, es EjectionState) {
	c.ejectFrom = now.Add(time.Duration(es.EjectDelayMS) * time.Millisecond)
	ago := func(ms int64) fleet.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	c.ejections = nil
	for _, rec := range es.Ejections {
		e := &ejection{server: rec.Server, row: -1, phase: phase(rec.Phase), since: ago(rec.Age), score: rec.Score, cause: rec.Cause}
		for _, ms := range rec.History {
			e.history = append(e.history, ago(ms))
		}
		c.insertEjection(e)
	}
	c.linkEjections(now)
}

// replicate sends the ejected set to the copy.
func (c *coord) replicate(now fleet.Time) {
	c.replicaSeq++
	c.replicatedAt, c.replicaDirty = now, false
	c.p.send(c.copyMember.VM, &Replicate{Pool: c.pool.id, Version: c.version, Seq: c.replicaSeq, State: c.exportState(now)})
}

func (p *Pools) onReplicate(from fleet.Member, m *Replicate) {
	pl := p.pools[m.Pool]
	if pl == nil || pl.coord == nil {
		return
	}
	role, version := p.cfg.Authority.Role(pl.shard)
	view, ok := p.cfg.Authority.View(pl.shard)
	if ok && view.Version > m.Version {
		// The sender is a former owner that has not seen the new view yet.
		p.send(from.VM, &Redirect{m.Pool, view.Version, view.Owner, view.Copy})
		return
	}
	if role != shard.RoleCopy || version != m.Version || !ok || view.Owner != from || m.Seq <= pl.coord.replicaSeq && pl.coord.version == m.Version {
		return
	}
	pl.coord.replicaSeq, pl.coord.replicaReceivedAt = m.Seq, p.now
	pl.coord.importState(p.now, m.State)
	p.send(from.VM, &ReplicateAck{Pool: m.Pool, Version: m.Version, Seq: m.Seq})
}

// onReplicateAck activates the proposed ejections that the copy has acknowledged.
func (c *coord) onReplicateAck(now fleet.Time, from fleet.Member, m *ReplicateAck) {
	if c.role != shard.RoleOwner || !c.active() || c.version != m.Version || from != c.copyMember {
		return
	}
	c.replicaAcked = max(c.replicaAcked, m.Seq)
	activated := false
	for _, e := range c.ejections {
		if e.phase == phaseProposed && e.seq <= c.replicaAcked {
			c.activateEjection(now, e)
			activated = true
		}
	}
	if activated {
		c.push(now)
	}
}
