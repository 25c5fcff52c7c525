package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Directory is one version of the platform's list of VMs and servers. It is immutable;
// a newer version replaces it.
type Directory struct {
	Generation uint64 // increases with each change of the platform's list
	VMs        []VM   // sorted by ID
	Servers    []Server

	vmIndex map[VMID]int
	pools   map[PoolID][]Server
}

// NewDirectory builds a directory from the contents of the platform's list.
func NewDirectory(generation uint64, vms []VM, servers []Server) *Directory {
	d := &Directory{
		Generation: generation,
		VMs:        slices.Clone(vms),
		Servers:    slices.Clone(servers),
		vmIndex:    make(map[VMID]int, len(vms)),
		pools:      make(map[PoolID][]Server),
	}
	slices.SortFunc(d.VMs, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for i, vm := range d.VMs {
		d.vmIndex[vm.ID] = i
	}
	for _, s := range d.Servers {
		d.pools[s.Pool()] = append(d.pools[s.Pool()], s)
	}
	return d
}

// VM returns a VM and whether it is listed.
func (d *Directory) VM(id VMID) (VM, bool) {
	i, ok := d.vmIndex[id]
	if !ok {
		return VM{}, false
	}
	return d.VMs[i], true
}

// Pool returns the servers of a pool, sorted by ID. The slice must not be modified.
func (d *Directory) Pool(id PoolID) []Server { return d.pools[id] }

// Pools returns the pools of a service, sorted by region.
func (d *Directory) Pools(service Service) []PoolID {
	var ids []PoolID
	for id := range d.pools {
		if id.Service == service {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b PoolID) int { return cmp.Compare(a.Region, b.Region) })
	return ids
}

// AllPools returns all pools, sorted by service and region.
func (d *Directory) AllPools() []PoolID {
	ids := make([]PoolID, 0, len(d.pools))
	for id := range d.pools {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b PoolID) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return ids
}

// RegionVMs returns the listed VMs of a region, sorted by ID.
func (d *Directory) RegionVMs(region Region) []VM {
	var vms []VM
	for _, vm := range d.VMs {
		if vm.Region == region {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Rendezvous orders VMs by rendezvous (highest-random-weight) hashing of a key. The order
// depends only on the key and the IDs of the VMs.
func Rendezvous(key string, vms []VM) []VM {
	type scoredVM struct {
		vm    VM
		score uint64
	}
	scores := make([]scoredVM, len(vms))
	for i, vm := range vms {
		scores[i] = scoredVM{vm, xxhash.Sum64String(key + "\x00" + string(vm.ID))}
	}
	slices.SortFunc(scores, func(a, b scoredVM) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	out := make([]VM, len(scores))
	for i, s := range scores {
		out[i] = s.vm
	}
	return out
}
