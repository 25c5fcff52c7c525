package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// fakeReplica exports the same state for every shard and keeps the last import.
type fakeReplica struct {
	state    []byte
	imported []byte
}

func (r *fakeReplica) Export(ID) ([]byte, error)              { return r.state, nil }
func (r *fakeReplica) Import(_ ID, state []byte) error        { r.imported = state; return nil }
func (r *fakeReplica) Reset(ID, fleet.Time)                   {}
func (r *fakeReplica) RoleChanged(ID, fleet.Time, Role, View) {}
func (r *fakeReplica) Discard(ID)                             {}

func testVMs(n int) []fleet.VM {
	vms := make([]fleet.VM, n)
	for i := range vms {
		vms[i] = fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm%02d", i)), Region: "r", Zone: fleet.Zone(fmt.Sprint(i % 2)), State: fleet.StateLive}
	}
	return vms
}

func testManager(vm fleet.VM, replica Replica) *Manager {
	return New(Config{
		Self: fleet.Member{VM: vm.ID, Incarnation: 1}, Region: vm.Region, Zone: vm.Zone,
		Replicas: map[Class]Replica{ClassKeys: replica},
	})
}

func testShards(n int) []ID {
	ids := make([]ID, n)
	for i := range ids {
		ids[i] = KeyShard("r", i)
	}
	return ids
}

// deliverAll delivers messages until all outboxes are empty and returns the frame sizes.
func deliverAll(t require.TestingT, now fleet.Time, managers map[fleet.VMID]*Manager, vms []fleet.VM) (sizes []int) {
	for moved := true; moved; {
		moved = false
		for _, vm := range vms {
			for _, e := range managers[vm.ID].Outbox() {
				frame, err := wire.Encode(e.Message)
				require.NoError(t, err)
				sizes = append(sizes, len(frame))
				message, err := wire.Decode(frame)
				require.NoError(t, err)
				if to := managers[e.To]; to != nil {
					to.Step(now, fleet.Member{VM: vm.ID, Incarnation: 1}, message)
				}
				moved = true
			}
		}
	}
	return sizes
}

func testFleet(n, shards int, state []byte) (map[fleet.VMID]*Manager, map[fleet.VMID]*fakeReplica, []fleet.VM) {
	vms := testVMs(n)
	managers, replicas := map[fleet.VMID]*Manager{}, map[fleet.VMID]*fakeReplica{}
	for _, vm := range vms {
		replicas[vm.ID] = &fakeReplica{state: state}
		m := testManager(vm, replicas[vm.ID])
		for _, other := range vms {
			m.RecordIncarnation(0, fleet.Member{VM: other.ID, Incarnation: 1})
		}
		m.SetDirectory(0, fleet.NewDirectory(1, vms, nil))
		m.SetWantedShards(0, testShards(shards))
		managers[vm.ID] = m
	}
	return managers, replicas, vms
}

func runFleet(t require.TestingT, from, to time.Duration, managers map[fleet.VMID]*Manager, vms []fleet.VM) (sizes []int) {
	for at := from; at < to; at += 50 * time.Millisecond {
		for _, vm := range vms {
			managers[vm.ID].Tick(fleet.Time(at))
		}
		sizes = append(sizes, deliverAll(t, fleet.Time(at), managers, vms)...)
	}
	return sizes
}

// Guards against frames above the limit when a large state is transferred, against a
// copy in the owner's zone, and against ownership that is not spread over the VMs.
func TestTransferOfLargeStateUsesBoundedFrames(t *testing.T) {
	state := make([]byte, 9<<20)
	for i := range state {
		state[i] = byte(i * 7)
	}
	managers, replicas, vms := testFleet(4, 16, state)
	for _, size := range runFleet(t, 0, 4*time.Second, managers, vms) {
		require.Less(t, size, wire.MaxFrameBytes/2)
	}
	owned := map[fleet.VMID]int{}
	for _, id := range testShards(16) {
		view, ok := managers["vm00"].View(id)
		require.True(t, ok)
		owned[view.Owner.VM]++
		require.False(t, view.Copy.IsZero())
		zones := map[fleet.Zone]bool{}
		for _, vm := range vms {
			if vm.ID == view.Owner.VM || vm.ID == view.Copy.VM {
				zones[vm.Zone] = true
			}
		}
		require.Len(t, zones, 2)
		require.Equal(t, state, replicas[view.Copy.VM].imported)
	}
	require.Len(t, owned, 4)
}

// Guards against one message per shard when the loss of a VM affects many shards.
func TestChangesAreBatchedPerVM(t *testing.T) {
	managers, _, vms := testFleet(4, 400, nil)
	runFleet(t, 0, 4*time.Second, managers, vms)
	remaining := vms[1:]
	for _, vm := range remaining {
		managers[vm.ID].SetDirectory(fleet.Time(4*time.Second), fleet.NewDirectory(2, remaining, nil))
	}
	delete(managers, vms[0].ID)
	sizes := runFleet(t, 4*time.Second, 5*time.Second, managers, remaining)
	require.Less(t, len(sizes), 100)
	for _, id := range testShards(400) {
		view, _ := managers[remaining[0].ID].View(id)
		require.NotEqual(t, vms[0].ID, view.Owner.VM)
		require.False(t, view.Copy.IsZero())
	}
}

// Guards against an owner that waits forever for a copy which acknowledged the Prepare
// and resigned before the Commit.
func TestCopyThatResignsBeforeCommitIsReplaced(t *testing.T) {
	managers, _, vms := testFleet(2, 1, nil)
	id := KeyShard("r", 0)
	owner, copyHolder := managers["vm00"], managers["vm01"]
	view := View{Shard: id, Version: 5, Owner: owner.cfg.Self, Copy: copyHolder.cfg.Self}
	copyHolder.Step(0, owner.cfg.Self, &Prepare{[]StateChunk{{View: view, Total: 1, Data: []byte{}}}})
	copyHolder.Resign(0)
	copyHolder.Tick(0)
	copyHolder.Outbox()
	s := owner.ensureShard(id)
	owner.activate(0, s, view, "test")
	owner.Tick(1)
	deliverAll(t, 1, managers, vms)
	role, version := owner.Role(id)
	require.Equal(t, RoleOwner, role)
	require.Greater(t, version, view.Version)
	require.True(t, copyHolder.Resigned())
}

func BenchmarkTick(b *testing.B) {
	for _, shards := range []int{64, 1000, 10000} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			managers, _, vms := testFleet(2, shards, nil)
			runFleet(b, 0, 8*time.Second, managers, vms)
			m, now := managers["vm00"], fleet.Time(10*time.Second)
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				m.Tick(now)
				m.Outbox()
			}
		})
	}
}
