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

// maxPeerSilence is how long ago a peer's last frame may be for the peer to be reported as
// heard. Peers send a heartbeat every second.
const maxPeerSilence = 4 * time.Second

// dialOperators returns the function with which the operator API connects to that of another VM
// to answer an explain request.
func (n *Node) dialOperators(source *tlsconf.Source) func(operator.VMStatus) (*operator.Client, error) {
	return func(vm operator.VMStatus) (*operator.Client, error) {
		if vm.OperatorAddr == "" {
			return nil, result.Errorf(result.Unreachable, "%s has not announced an address of its operator API", vm.ID)
		}
		return operator.NewClient(operator.ClientConfig{Addresses: []string{vm.OperatorAddr}, TLS: source})
	}
}

// Readiness reports whether this VM is ready for callers and, if not, the reasons.
func (n *Node) Readiness(context.Context) operator.Readiness {
	n.mu.Lock()
	health := n.core.Config().Health()
	n.mu.Unlock()
	out := operator.Readiness{Ready: true}
	notReady := func(code result.Code, detail string) {
		out.Ready = false
		out.Reasons = append(out.Reasons, operator.NewReadinessReason(code, detail))
	}
	switch health {
	case result.OK:
	case result.ConfigBehind, result.ConfigNewFormat:
		out.Reasons = append(out.Reasons, operator.NewReadinessReason(health, "requests are served with an old revision"))
	case result.NotReady:
		notReady(health, "no document is in effect: none was received from the log service or a peer")
	default:
		notReady(health, "the configuration log does not belong to this fleet")
	}
	if n.Draining() {
		notReady(result.Draining, "this VM is shutting down")
	}
	if !n.selfListed.Load() {
		notReady(result.NotReady, "this VM is not in the platform's list yet")
	}
	return out
}

// Self returns the status of this VM.
func (n *Node) Self() operator.VMStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.selfStatus()
}

// selfStatus returns the status of this VM. The caller holds mu.
func (n *Node) selfStatus() operator.VMStatus {
	state := n.core.Config().State()
	out := operator.VMStatus{
		ID: n.self.VM, Incarnation: n.self.Incarnation, Region: n.region, Zone: n.zone, LinkAddr: n.LinkAddr(),
		OperatorAddr: n.OperatorsAddr(), Listed: "absent", RecentlyHeard: true, Draining: n.Draining(),
		Revision: state.Revision(), Offset: int64(state.Next()) - 1, Version: n.cfg.Version, Self: true,
	}
	if dir := n.core.Directory(); dir != nil {
		if vm, ok := dir.VM(n.self.VM); ok {
			out.Listed = vm.State.String()
		}
	}
	return out
}

// VMs returns the VMs in the platform's list and those with a link to this one, including
// this VM.
func (n *Node) VMs(context.Context) ([]operator.VMStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rows := map[fleet.VMID]operator.VMStatus{}
	if dir := n.core.Directory(); dir != nil {
		for _, vm := range dir.VMs {
			rows[vm.ID] = operator.VMStatus{ID: vm.ID, Region: vm.Region, Zone: vm.Zone, LinkAddr: vm.Addr, Listed: vm.State.String()}
		}
	}
	for _, p := range n.links.Peers() {
		rows[p.Member.VM] = mergePeer(rows[p.Member.VM], p)
	}
	rows[n.self.VM] = n.selfStatus()
	out := make([]operator.VMStatus, 0, len(rows))
	for _, row := range rows {
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b operator.VMStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out, nil
}

// mergePeer adds the state of a link to the VM's row, which is empty if the VM is not listed.
func mergePeer(row operator.VMStatus, p link.Peer) operator.VMStatus {
	if row.Listed == "" {
		row = operator.VMStatus{ID: p.Member.VM, Region: p.Region, Zone: p.Zone, LinkAddr: p.LinkAddr, Listed: "absent"}
	}
	row.Incarnation, row.OperatorAddr = p.Member.Incarnation, p.OperatorAddr
	row.RecentlyHeard = p.Connected && time.Since(p.LastHeard) < maxPeerSilence
	return row
}

// Servers returns the listed backend servers that match the query, with this VM's state of each.
func (n *Node) Servers(_ context.Context, q operator.ServersQuery) ([]operator.ServerStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	dir, index := n.core.Directory(), n.core.Index()
	if dir == nil || index == nil {
		return nil, result.Errorf(result.NotReady, "the VM list or the document is not available yet")
	}
	statusByServer := make(map[fleet.ServerID]pool.ServerStatus)
	rolesByPool := make(map[fleet.PoolID]string)
	for _, p := range n.core.PoolStatus() {
		rolesByPool[p.Pool] = p.Role
		for _, s := range p.Servers {
			statusByServer[s.Server] = s
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
			State: serverState(statusByServer[s.ID]), Reason: statusByServer[s.ID].Cause, Slots: service.Slots, InFlight: statusByServer[s.ID].Running,
			ViewRole: rolesByPool[s.Pool()],
		}
		if row.ViewRole == "" || row.ViewRole == "none" {
			row.ViewRole = "client"
		}
		out = append(out, row)
	}
	return out, nil
}

// serverState returns a server's state as shown to operators. It is empty when this VM
// has no state of the server's pool.
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

// Shards returns the shards known to this VM that match the query.
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
		if (q.Region != "" && q.Region != id.Region) || (q.Class != "" && q.Class != class) || (q.MemberOnly && role == shard.RoleNone) {
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

// Events returns the matching events that this VM holds in memory, oldest first.
func (n *Node) Events(_ context.Context, q journal.Query) ([]fleet.Event, error) {
	return n.journal.Query(q), nil
}

// Stream returns the matching events from the fleet's log stream.
func (n *Node) Stream(ctx context.Context, q journal.Query) (journal.StreamResult, error) {
	return journal.ReadStream(ctx, n.cfg.Log, q)
}

// Drain starts the graceful shutdown of this VM. For a request to drain another VM it returns
// an error with the code UsageError.
func (n *Node) Drain(_ context.Context, req operator.DrainRequest) (operator.DrainStatus, error) {
	if req.VM != n.self.VM {
		return operator.DrainStatus{}, result.Errorf(result.UsageError, "this VM is %s, but the request is for %s", n.self.VM, req.VM)
	}
	n.startDrain("requested by an operator: " + req.Reason)
	n.mu.Lock()
	defer n.mu.Unlock()
	heldShards := 0
	for _, id := range n.core.WantedShards() {
		if role, _ := n.core.Shards().Role(id); role != shard.RoleNone {
			heldShards++
		}
	}
	return operator.DrainStatus{Draining: true, InFlight: n.proxy.InFlight(), Shards: heldShards}, nil
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

// AllShardsOwned reports whether every shard of this VM's region has a known owner, so that
// requests with idempotency keys and server slots are available.
func (n *Node) AllShardsOwned() bool {
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
