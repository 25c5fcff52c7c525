package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// rowReuseAfter is how long a row of an unlisted server is kept, so that late
// messages do not reach a successor in the same row.
const rowReuseAfter = time.Minute

// row is one server in a pool's table, with the parts of client and coordinator.
type row struct {
	server   fleet.Server
	ref      uint32
	listed   bool
	goneAt   fleet.Time
	born     fleet.Time
	cold     bool // appeared after the first list: it ramps and warms up
	drainEnd fleet.Time
	clash    bool // its ref equals that of another listed server

	cl clientRow
	co coordRow
}

// open reports whether the server may get new work as far as the list and its own
// replies say.
func (r *row) open(now fleet.Time) bool {
	return r.listed && !r.clash && r.server.State == fleet.StateLive && now >= r.drainEnd
}

// pool is one pool on this VM: its table, the client, and the coordinator if this
// VM is owner or copy.
type pool struct {
	p       *Pools
	id      fleet.PoolID
	shard   shard.ID
	service document.Service
	rows    []row
	byRef   map[uint32]int32
	byID    map[fleet.ServerID]int32
	order   []int32 // listed rows, sorted by server ID
	routes  map[uint32]*route
	names   map[string]*route
	learned []*route // in order of appearance
	client  client
	coord   *coord
	seeded  bool // the first list has been read
	allot   allotment
}

func refOf(id fleet.ServerID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func routeRef(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (pl *pool) row(ref uint32) (int32, bool) {
	i, ok := pl.byRef[ref]
	return i, ok
}

// setServers brings the table in line with a reading of the list.
func (pl *pool) setServers(now fleet.Time, servers []fleet.Server) {
	listed := make(map[fleet.ServerID]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
	}
	for i := range pl.rows {
		r := &pl.rows[i]
		if r.listed && !listed[r.server.ID] {
			r.listed, r.goneAt = false, now
		}
	}
	pl.order = pl.order[:0]
	free := pl.reusable(now)
	for _, s := range servers {
		i, ok := pl.byID[s.ID]
		if !ok {
			i, free = pl.addRow(now, s, free)
		}
		r := &pl.rows[i]
		if !r.listed || restarted(r.server, s) {
			r.listed, r.born, r.cold = true, now, pl.seeded
		}
		r.server = s
		other, taken := pl.byRef[r.ref]
		r.clash = taken && other != i && pl.rows[other].listed
		if !r.clash {
			pl.byRef[r.ref] = i
		}
		pl.order = append(pl.order, i)
	}
	slices.SortFunc(pl.order, func(a, b int32) int {
		return cmp.Compare(pl.rows[a].server.ID, pl.rows[b].server.ID)
	})
	pl.seeded = pl.seeded || len(servers) > 0
	pl.client.wake = true
	if pl.coord != nil {
		pl.coord.tableChanged(now)
	}
}

// restarted reports that a row shows another process of the server: one that was
// leaving is live again, or it has a new address. The list may lag too much to show it
// absent in between.
func restarted(before, after fleet.Server) bool {
	return before.State == fleet.StateLeaving && after.State == fleet.StateLive || before.Addr != after.Addr
}

func (pl *pool) reusable(now fleet.Time) []int32 {
	var free []int32
	for i := range pl.rows {
		r := &pl.rows[i]
		if !r.listed && now.Sub(r.goneAt) > rowReuseAfter && r.cl.used == 0 && r.co.lent == 0 {
			free = append(free, int32(i))
		}
	}
	return free
}

func (pl *pool) addRow(now fleet.Time, s fleet.Server, free []int32) (int32, []int32) {
	fresh := row{server: s, ref: refOf(s.ID)}
	var i int32
	if len(free) > 0 {
		i, free = free[0], free[1:]
		old := &pl.rows[i]
		delete(pl.byID, old.server.ID)
		if pl.byRef[old.ref] == i {
			delete(pl.byRef, old.ref)
		}
		pl.client.forget(i)
		pl.forgetEvidence(i)
		*old = fresh
	} else {
		i = int32(len(pl.rows))
		pl.rows = append(pl.rows, fresh)
	}
	pl.byID[s.ID] = i
	return i, free
}

// allotment divides the pool's slots among the VMs of its region, for clients that
// have lost the coordinator. Slot j in server-major order belongs to VM j mod n, so
// that VMs with the same list never share a slot while there are as many slots as VMs.
type allotment struct {
	vms   []fleet.VMID
	index map[fleet.VMID]int
}

func (pl *pool) setVMs(vms []fleet.VM) {
	pl.allot = allotment{index: make(map[fleet.VMID]int, len(vms))}
	for i, vm := range vms {
		pl.allot.vms = append(pl.allot.vms, vm.ID)
		pl.allot.index[vm.ID] = i
	}
}

// allotted calls f for each slot that the VM owns without a coordinator.
func (pl *pool) allotted(vm fleet.VMID, f func(row int32)) {
	at, ok := pl.allot.index[vm]
	total := len(pl.order) * pl.service.Slots
	if !ok || total == 0 {
		return
	}
	if len(pl.allot.vms) >= total {
		f(pl.order[at%total%len(pl.order)])
		return
	}
	for j := at; j < total; j += len(pl.allot.vms) {
		f(pl.order[j%len(pl.order)])
	}
}
