package pool

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// PoolStatus is a pool as this VM sees it.
type PoolStatus struct {
	Pool        fleet.PoolID   `json:"pool"`
	Role        string         `json:"role"`
	Version     uint64         `json:"version"`
	Mode        string         `json:"mode"` // owner, copy or alone: where credits come from
	Queued      int            `json:"queued"`
	Running     int            `json:"running"`
	UsedPercent int            `json:"used_percent"`
	Cutoff      int            `json:"cutoff"`
	Clients     int            `json:"clients,omitempty"` // with a lease, at a coordinator
	Floor       int            `json:"floor,omitempty"`
	Healthy     int            `json:"healthy,omitempty"`
	Servers     []ServerStatus `json:"servers"`
}

// ServerStatus is a server as this VM sees it.
type ServerStatus struct {
	Server   fleet.ServerID `json:"server"`
	State    string         `json:"state"`
	Ejected  bool           `json:"ejected"` // obeyed here
	Held     int            `json:"held"`    // credits of this VM
	Running  int            `json:"running"` // requests of this VM
	Lent     int            `json:"lent,omitempty"`
	Reserved int            `json:"reserved,omitempty"`
	Phase    string         `json:"phase,omitempty"`
	Cause    string         `json:"cause,omitempty"`
	Suspect  bool           `json:"suspect,omitempty"`
	Failure  float64        `json:"failure_score,omitempty"`
	Slowness float64        `json:"slowness_score,omitempty"`
}

var phaseNames = map[phase]string{phaseProposed: "proposed", phaseOut: "ejected", phaseEnded: "readmitted"}

// Status returns a row per pool and server, sorted by name.
func (p *Pools) Status() []PoolStatus {
	out := make([]PoolStatus, 0, len(p.list))
	for _, pl := range p.list {
		c := &pl.client
		s := PoolStatus{
			Pool: pl.id, Role: roleName(shard.RoleNone), Version: c.version, Mode: [...]string{"owner", "copy", "alone"}[c.mode],
			Queued: c.queue.n, Running: c.used, UsedPercent: c.usedPct, Cutoff: int(c.cutoff),
		}
		if co := pl.coord; co != nil && p.dir != nil {
			s.Role, s.Clients = roleName(co.role), co.liveClients()
			s.Floor, s.Healthy = co.floorOf(), co.healthy(p.now, true)
		}
		for _, i := range pl.order {
			s.Servers = append(s.Servers, pl.serverStatus(p.now, &pl.rows[i]))
		}
		out = append(out, s)
	}
	return out
}

func (pl *pool) serverStatus(now fleet.Time, r *row) ServerStatus {
	s := ServerStatus{
		Server: r.server.ID, State: r.server.State.String(), Ejected: now < max(r.cl.ejected, r.cl.localEjected),
		Held: r.cl.granted, Running: r.cl.used,
	}
	if now < r.drainEnd {
		s.State = "draining"
	}
	if pl.coord != nil {
		s.Lent, s.Reserved, s.Suspect = r.co.lent, r.co.reserved, r.co.suspect
		s.Failure, s.Slowness = r.co.score[signFailure], r.co.score[signSlowness]
		if e := r.co.ej; e != nil {
			s.Phase, s.Cause = phaseNames[e.phase], e.cause
		}
	}
	return s
}
