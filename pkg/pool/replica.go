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
	return p.ensure(fleet.PoolID{Service: id.Service, Region: id.Region})
}

// Export returns the ejected set with its history.
func (p *Pools) Export(id shard.ID) ([]byte, error) {
	pl := p.shardPool(id)
	if pl.coord == nil {
		return nil, result.Errorf(result.NotFound, "no state of %s", id)
	}
	data, err := msgpack.Marshal(pl.coord.records(p.now))
	if err != nil {
		return nil, result.Errorf(result.Internal, "export of %s: %v", id, err)
	}
	return data, nil
}

// Import replaces the ejected set.
func (p *Pools) Import(id shard.ID, state []byte) error {
	var es EjectionState
	if err := msgpack.Unmarshal(state, &es); err != nil {
		return result.Errorf(result.Internal, "import of %s: %v", id, err)
	}
	pl := p.shardPool(id)
	if pl.coord == nil {
		pl.coord = newCoord(pl)
	}
	pl.coord.load(p.now, es)
	return nil
}

// Lost starts with an empty ejected set. Clients may still obey ejections that are
// not known here, so the first ejection waits until their leases have ended.
func (p *Pools) Lost(id shard.ID, now fleet.Time) {
	p.enter(now)
	pl := p.shardPool(id)
	pl.coord = newCoord(pl)
	pl.coord.ejectAt = now.Add(ejectionLease + ejectionMargin)
}

// Changed takes up a new role or version.
func (p *Pools) Changed(id shard.ID, now fleet.Time, role shard.Role, view shard.View) {
	p.enter(now)
	pl := p.shardPool(id)
	if pl.coord == nil {
		pl.coord = newCoord(pl)
	}
	pl.coord.activate(now, role, view)
	pl.client.wake = true
}

// Dropped discards the state.
func (p *Pools) Dropped(id shard.ID) { p.shardPool(id).coord = nil }

// records returns the ejected set with ages, and what is left of the wait after lost
// history, which a copy must keep when it takes over.
func (c *coord) records(now fleet.Time) EjectionState {
	var es EjectionState
	if left := c.ejectAt.Sub(now); left > 0 {
		es.Wait = left.Milliseconds() + 1
	}
	for _, e := range c.ejections {
		rec := EjectionRecord{Server: e.server, Phase: uint8(e.phase), Age: now.Sub(e.since).Milliseconds(), Score: e.score, Cause: e.cause}
		for _, t := range e.history {
			rec.History = append(rec.History, now.Sub(t).Milliseconds())
		}
		es.Set = append(es.Set, rec)
	}
	return es
}

// load replaces the ejected set. Ages shrink on the way, so that every end computed
// here lies later than at the sender.
func (c *coord) load(now fleet.Time, es EjectionState) {
	c.ejectAt = now.Add(time.Duration(es.Wait) * time.Millisecond)
	ago := func(ms int64) fleet.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	c.ejections = nil
	for _, rec := range es.Set {
		e := &ejection{server: rec.Server, row: -1, phase: phase(rec.Phase), since: ago(rec.Age), score: rec.Score, cause: rec.Cause}
		for _, ms := range rec.History {
			e.history = append(e.history, ago(ms))
		}
		c.insert(e)
	}
	c.linkEjections(now)
}

// replicate sends the ejected set to the copy.
func (c *coord) replicate(now fleet.Time) {
	c.repSeq++
	c.repSent, c.repDirty = now, false
	c.p.send(c.copyOf.VM, &Replicate{Pool: c.pool.id, Version: c.version, Seq: c.repSeq, State: c.records(now)})
}

func (p *Pools) onReplicate(from fleet.Member, m *Replicate) {
	pl := p.pools[m.Pool]
	if pl == nil || pl.coord == nil {
		return
	}
	role, version := p.cfg.Authority.Role(pl.shard)
	view, ok := p.cfg.Authority.View(pl.shard)
	if ok && view.Version > m.Version {
		// A former owner that does not know it yet.
		p.send(from.VM, &Redirect{m.Pool, view.Version, view.Owner, view.Copy})
		return
	}
	if role != shard.RoleCopy || version != m.Version || !ok || view.Owner != from || m.Seq <= pl.coord.repSeq && pl.coord.version == m.Version {
		return
	}
	pl.coord.repSeq, pl.coord.repHeard = m.Seq, p.now
	pl.coord.load(p.now, m.State)
	p.send(from.VM, &ReplicateAck{Pool: m.Pool, Version: m.Version, Seq: m.Seq})
}

// onReplicateAck puts the proposals into force that the copy has accepted.
func (c *coord) onReplicateAck(now fleet.Time, from fleet.Member, m *ReplicateAck) {
	if c.role != shard.RoleOwner || !c.acting() || c.version != m.Version || from != c.copyOf {
		return
	}
	c.repAcked = max(c.repAcked, m.Seq)
	forced := false
	for _, e := range c.ejections {
		if e.phase == phaseProposed && e.seq <= c.repAcked {
			c.force(now, e)
			forced = true
		}
	}
	if forced {
		c.push(now)
	}
}
