package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/link"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
)

// heardWithin is how recently a peer must have sent a frame to count as heard. Peers
// send a heartbeat each second.
const heardWithin = 4 * time.Second

// dialOperators returns how explain reaches the operators' API of other VMs.
func (n *Node) dialOperators(source *tlsconf.Source) func(operator.VMStatus) (*operator.Client, error) {
	return func(vm operator.VMStatus) (*operator.Client, error) {
		if vm.Operators == "" {
			return nil, result.Errorf(result.Unreachable, "%s has told no address of its operators' API", vm.ID)
		}
		return operator.NewClient(operator.ClientConfig{Addresses: []string{vm.Operators}, TLS: source})
	}
}

// Readiness says whether this VM serves callers, and why not.
func (n *Node) Readiness(context.Context) operator.Readiness {
	n.mu.Lock()
	health := n.core.Config().Health()
	n.mu.Unlock()
	out := operator.Readiness{Ready: true}
	block := func(code result.Code, detail string) {
		out.Ready = false
		out.Reasons = append(out.Reasons, operator.Reason(code, detail))
	}
	switch health {
	case result.OK:
	case result.ConfigBehind, result.ConfigNewFormat:
		out.Reasons = append(out.Reasons, operator.Reason(health, "requests are served with an old revision"))
	case result.NotReady:
		block(health, "no document is in force: neither the log service nor a peer has given one")
	default:
		block(health, "the configuration log is not this fleet's")
	}
	if n.Draining() {
		block(result.Draining, "this VM is shutting down")
	}
	if !n.listed.Load() {
		block(result.NotReady, "the platform's list does not hold this VM yet")
	}
	return out
}

// Self describes this VM.
func (n *Node) Self() operator.VMStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.selfStatus()
}

func (n *Node) selfStatus() operator.VMStatus {
	state := n.core.Config().State()
	out := operator.VMStatus{
		ID: n.self.VM, Incarnation: n.self.Incarnation, Region: n.region, Zone: n.zone, Links: n.LinkAddr(),
		Operators: n.OperatorsAddr(), Listed: "absent", Heard: true, Draining: n.Draining(),
		Revision: state.Revision(), Offset: int64(state.Next()) - 1, Version: n.cfg.Version, Self: true,
	}
	if dir := n.core.Directory(); dir != nil {
		if vm, ok := dir.VM(n.self.VM); ok {
			out.Listed = vm.State.String()
		}
	}
	return out
}

// VMs returns the listed and the heard VMs, this one included.
func (n *Node) VMs(context.Context) ([]operator.VMStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rows := map[fleet.VMID]operator.VMStatus{}
	if dir := n.core.Directory(); dir != nil {
		for _, vm := range dir.VMs {
			rows[vm.ID] = operator.VMStatus{ID: vm.ID, Region: vm.Region, Zone: vm.Zone, Links: vm.Addr, Listed: vm.State.String()}
		}
	}
	for _, p := range n.links.Peers() {
		rows[p.Member.VM] = withPeer(rows[p.Member.VM], p)
	}
	rows[n.self.VM] = n.selfStatus()
	out := make([]operator.VMStatus, 0, len(rows))
	for _, row := range rows {
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b operator.VMStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out, nil
}

func withPeer(row operator.VMStatus, p link.Peer) operator.VMStatus {
	if row.Listed == "" {
		row = operator.VMStatus{ID: p.Member.VM, Region: p.Region, Zone: p.Zone, Links: p.Links, Listed: "absent"}
	}
	row.Incarnation, row.Operators = p.Member.Incarnation, p.Operators
	row.Heard = p.Connected && time.Since(p.LastHeard) < heardWithin
	return row
}

// Servers returns the backend servers that the query selects.
func (n *Node) Servers(_ context.Context, q operator.ServersQuery) ([]operator.ServerStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	dir, index := n.core.Directory(), n.core.Index()
	if dir == nil || index == nil {
		return nil, result.Errorf(result.NotReady, "no list or no document yet")
	}
	known := make(map[fleet.ServerID]pool.ServerStatus)
	views := make(map[fleet.PoolID]string)
	for _, p := range n.core.PoolStatus() {
		views[p.Pool] = p.Role
		for _, s := range p.Servers {
			known[s.Server] = s
		}
	}
	out := []operator.ServerStatus{}
	for _, s := range dir.Servers {
		if (q.Service != "" && q.Service != s.Service) || (q.Region != "" && q.Region != s.Region) || (q.ID != "" && q.ID != s.ID) {
			continue
		}
		service, _ := index.Service(s.Service)
		row := operator.ServerStatus{
			ID: s.ID, Service: s.Service, Addr: s.Addr, Region: s.Region, Zone: s.Zone, Listed: s.State.String(),
			State: serverState(known[s.ID]), Reason: known[s.ID].Cause, Slots: service.Slots, Busy: known[s.ID].Running,
			View: views[s.Pool()],
		}
		if row.View == "" || row.View == "none" {
			row.View = "client"
		}
		out = append(out, row)
	}
	return out, nil
}

// serverState spells a server's state as operators read it. It is empty where this
// VM does not know the server's pool.
func serverState(s pool.ServerStatus) string {
	switch {
	case s.State == "":
		return ""
	case s.Ejected || s.Phase == "ejected":
		return "ejected"
	case s.State != fleet.StateLive.String():
		return "draining"
	}
	return "serving"
}

// Shards returns the shards known here.
func (n *Node) Shards(_ context.Context, q operator.ShardsQuery) ([]operator.ShardStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []operator.ShardStatus{}
	for _, id := range n.core.WantedShards() {
		class := "keys"
		if id.Class == shard.ClassPool {
			class = "pool"
		}
		view, _ := n.core.Shards().View(id)
		role, _ := n.core.Shards().Role(id)
		if (q.Region != "" && q.Region != id.Region) || (q.Class != "" && q.Class != class) || (q.Mine && role == shard.RoleNone) {
			continue
		}
		row := operator.ShardStatus{Shard: id.String(), Version: view.Version, Role: role.String()}
		if !view.Owner.IsZero() {
			row.Owner = view.Owner.String()
		}
		if !view.Copy.IsZero() {
			row.Copy = view.Copy.String()
		}
		out = append(out, row)
	}
	return out, nil
}

// Events returns events of this VM's memory, oldest first.
func (n *Node) Events(_ context.Context, q journal.Query) ([]fleet.Event, error) {
	return n.recorder.Query(q), nil
}

// Stream returns events of the fleet's log stream.
func (n *Node) Stream(ctx context.Context, q journal.Query) (journal.Reading, error) {
	return journal.ReadStream(ctx, n.cfg.Log, q)
}

// Drain starts the shutdown of this VM.
func (n *Node) Drain(_ context.Context, req operator.DrainRequest) (operator.DrainStatus, error) {
	if req.VM != n.self.VM {
		return operator.DrainStatus{}, result.Errorf(result.UsageError, "this VM is %s, the request names %s", n.self.VM, req.VM)
	}
	n.startDrain("asked by an operator: " + req.Reason)
	n.mu.Lock()
	defer n.mu.Unlock()
	held := 0
	for _, id := range n.core.WantedShards() {
		if role, _ := n.core.Shards().Role(id); role != shard.RoleNone {
			held++
		}
	}
	return operator.DrainStatus{Draining: true, InFlight: n.proxy.InFlight(), Shards: held}, nil
}

func (n *Node) registerMetrics() {
	n.metrics.NewGauge("fulmarbeam_config_revision", func() float64 {
		if index := n.Routes(); index != nil {
			return float64(index.Revision)
		}
		return 0
	})
	n.metrics.NewGauge("fulmarbeam_draining", func() float64 {
		if n.Draining() {
			return 1
		}
		return 0
	})
}

// Settled reports that every shard of this VM's region has a known owner, so that
// keyed requests and slots are available.
func (n *Node) Settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	wanted := n.core.WantedShards()
	for _, id := range wanted {
		if _, known := n.core.Shards().View(id); !known {
			return false
		}
	}
	return len(wanted) > 0
}
