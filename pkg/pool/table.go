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

// rowReuseAfter is how long the row of an unlisted server is kept before another server
// may reuse it, so that delayed messages are not applied to the wrong server.
const rowReuseAfter = time.Minute

// row is the table entry of one server, with its client and coordinator state.
type row struct {
	server       fleet.Server
	ref          uint32
	listed       bool
	unlistedAt   fleet.Time
	listedAt     fleet.Time
	coldStart    bool       // not in the first list that was read, or restarted: subject to slow start and warm-up
	drainEnd     fleet.Time // a draining server gets no work before this time
	refCollision bool       // the ref is also that of another listed server

	client clientRow
	coord  coordRow
}

// acceptsWork reports whether the server may get new work according to the server list
// and its own responses. Ejections are checked separately.
func (r *row) acceptsWork(now fleet.Time) bool {
	return r.listed && !r.refCollision && r.server.State == fleet.StateLive && now >= r.drainEnd
}

// pool is the state of one pool on this VM: the server table, the client, and the
// coordinator if this VM is the owner or the copy of the pool's shard.
type pool struct {
	p            *Pools
	id           fleet.PoolID
	shard        shard.ID
	service      document.Service
	rows         []row
	byRef        map[uint32]int32
	byID         map[fleet.ServerID]int32
	sortedRows   []int32 // rows of listed servers, sorted by server ID
	routesByRef  map[uint32]*route
	routesByName map[string]*route
	routeList    []*route // in the order in which they were first seen
	client       client
	coord        *coord
	initialized  bool // a non-empty server list has been read
	partition    staticPartition
}

func serverRef(id fleet.ServerID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func routeRef(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (pl *pool) row(ref uint32) (int32, bool) {
	i, ok := pl.byRef[ref]
	return i, ok
}

// setServers updates the table from a newly read server list.
func (pl *pool) setServers(now fleet.Time, servers []fleet.Server) {
	listed := make(map[fleet.ServerID]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
	}
	for i := range pl.rows {
		r := &pl.rows[i]
		if r.listed && !listed[r.server.ID] {
			r.listed, r.unlistedAt = false, now
		}
	}
	pl.sortedRows = pl.sortedRows[:0]
	free := pl.reusableRows(now)
	for _, s := range servers {
		i, ok := pl.byID[s.ID]
		if !ok {
			i, free = pl.addRow(now, s, free)
		}
		r := &pl.rows[i]
		if !r.listed || restarted(r.server, s) {
			r.listed, r.listedAt, r.coldStart = true, now, pl.initialized
		}
		r.server = s
		other, taken := pl.byRef[r.ref]
		r.refCollision = taken && other != i && pl.rows[other].listed
		if !r.refCollision {
			pl.byRef[r.ref] = i
		}
		pl.sortedRows = append(pl.sortedRows, i)
	}
	slices.SortFunc(pl.sortedRows, func(a, b int32) int {
		return cmp.Compare(pl.rows[a].server.ID, pl.rows[b].server.ID)
	})
	pl.initialized = pl.initialized || len(servers) > 0
	pl.client.syncSoon = true
	if pl.coord != nil {
		pl.coord.onTableChange(now)
	}
}

// restarted reports whether the server was replaced by another process: it was leaving
// and is live again, or its address changed. The list lags, so it may never show the
// server as absent.
func restarted(before, after fleet.Server) bool {
	return before.State == fleet.StateLeaving && after.State == fleet.StateLive || before.Addr != after.Addr
}

// reusableRows returns the rows of unlisted servers that another server may take over.
func (pl *pool) reusableRows(now fleet.Time) []int32 {
	var free []int32
	for i := range pl.rows {
		r := &pl.rows[i]
		if !r.listed && now.Sub(r.unlistedAt) > rowReuseAfter && r.client.used == 0 && r.coord.outstanding == 0 {
			free = append(free, int32(i))
		}
	}
	return free
}

func (pl *pool) addRow(now fleet.Time, s fleet.Server, free []int32) (int32, []int32) {
	fresh := row{server: s, ref: serverRef(s.ID)}
	var i int32
	if len(free) > 0 {
		i, free = free[0], free[1:]
		old := &pl.rows[i]
		delete(pl.byID, old.server.ID)
		if pl.byRef[old.ref] == i {
			delete(pl.byRef, old.ref)
		}
		pl.client.removeRow(i)
		pl.discardEvidence(i)
		*old = fresh
	} else {
		i = int32(len(pl.rows))
		pl.rows = append(pl.rows, fresh)
	}
	pl.byID[s.ID] = i
	return i, free
}

// staticPartition divides the pool's slots among the n VMs of its region, for clients
// that cannot reach the coordinator. Slot j belongs to VM j mod n, so that VMs with the
// same list never share a slot as long as there are at least as many slots as VMs.
// Consecutive slots are on different servers.
type staticPartition struct {
	vms   []fleet.VMID
	index map[fleet.VMID]int
}

func (pl *pool) setVMs(vms []fleet.VM) {
	pl.partition = staticPartition{index: make(map[fleet.VMID]int, len(vms))}
	for i, vm := range vms {
		pl.partition.vms = append(pl.partition.vms, vm.ID)
		pl.partition.index[vm.ID] = i
	}
}

// eachStaticSlot calls f with the row of each slot in the VM's static share.
func (pl *pool) eachStaticSlot(vm fleet.VMID, f func(row int32)) {
	at, ok := pl.partition.index[vm]
	total := len(pl.sortedRows) * pl.service.Slots
	if !ok || total == 0 {
		return
	}
	if len(pl.partition.vms) >= total {
		f(pl.sortedRows[at%total%len(pl.sortedRows)])
		return
	}
	for j := at; j < total; j += len(pl.partition.vms) {
		f(pl.sortedRows[j%len(pl.sortedRows)])
	}
}
