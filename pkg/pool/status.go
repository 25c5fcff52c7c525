package pool

import (
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// PoolStatus is this VM's view of a pool.
type PoolStatus struct {
	Pool        fleet.PoolID   `json:"pool"`
	Role        string         `json:"role"`
	Version     uint64         `json:"version"`
	Mode        string         `json:"mode"` // source of credits: owner, copy or alone (static share)
	Queued      int            `json:"queued"`
	Running     int            `json:"running"`
	UsedPercent int            `json:"used_percent"`
	Cutoff      int            `json:"cutoff"`
	Clients     int            `json:"clients,omitempty"` // clients with a valid lease; set by a coordinator
	Floor       int            `json:"floor,omitempty"`
	Healthy     int            `json:"healthy,omitempty"`
	Servers     []ServerStatus `json:"servers"`
}

// ServerStatus is this VM's view of a server.
type ServerStatus struct {
	Server        fleet.ServerID `json:"server"`
	State         string         `json:"state"`
	Ejected       bool           `json:"ejected"` // this VM enforces an ejection
	Held          int            `json:"held"`    // credits of this VM
	Running       int            `json:"running"` // requests of this VM
	Outstanding   int            `json:"lent,omitempty"`
	Reserved      int            `json:"reserved,omitempty"`
	Phase         string         `json:"phase,omitempty"`
	Cause         string         `json:"cause,omitempty"`
	Suspect       bool           `json:"suspect,omitempty"`
	FailureScore  float64        `json:"failure_score,omitempty"`
	SlownessScore float64        `json:"slowness_score,omitempty"`
}

var phaseNames = map[phase]string{phaseProposed: "proposed", phaseEjected: "ejected", phaseEnded: "readmitted"}

// Status returns the status of all pools and servers, sorted by name.
func (p *Pools) Status() []PoolStatus {
	out := make([]PoolStatus, 0, len(p.poolList))
	for _, pl := range p.poolList {
		c := &pl.client
		s := PoolStatus{
			Pool: pl.id, Role: roleName(shard.RoleNone), Version: c.version, Mode: [...]string{"owner", "copy", "alone"}[c.mode],
			Queued: c.queue.n, Running: c.used, UsedPercent: c.usedPct, Cutoff: int(c.cutoff),
		}
		if co := pl.coord; co != nil && p.dir != nil {
			s.Role, s.Clients = roleName(co.role), co.liveClients()
			s.Floor, s.Healthy = co.poolFloor(), co.healthy(p.now, true)
		}
		for _, i := range pl.sortedRows {
			s.Servers = append(s.Servers, pl.serverStatus(p.now, &pl.rows[i]))
		}
		out = append(out, s)
	}
	return out
}

func (pl *pool) serverStatus(now fleet.Time, r *row) ServerStatus {
	s := ServerStatus{
		Server: r.server.ID, State: r.server.State.String(), Ejected: now < max(r.client.ejectedUntil, r.client.localEjectedUntil),
		Held: r.client.granted, Running: r.client.used,
	}
	if now < r.drainEnd {
		s.State = "draining"
	}
	if pl.coord != nil {
		s.Outstanding, s.Reserved, s.Suspect = r.coord.outstanding, r.coord.reserved, r.coord.suspect
		s.FailureScore, s.SlownessScore = r.coord.score[symptomFailure], r.coord.score[symptomSlowness]
		if e := r.coord.ejection; e != nil {
			s.Phase, s.Cause = phaseNames[e.phase], e.cause
		}
	}
	return s
}
