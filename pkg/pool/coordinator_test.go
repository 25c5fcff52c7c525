package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// Guards against slots that are granted twice when the coordinator changes or is paused and
// when messages are lost.
func TestSlotsAreNeverGrantedTwice(t *testing.T) {
	cases := map[string]func(*sim){
		"loss": func(s *sim) {
			s.linkCut = func(fleet.VMID, fleet.VMID) bool { return s.rng.Float64() < 0.1 }
		},
		"takeover": func(s *sim) {
			s.after(5*time.Second, func() { s.setView(2, 1, -1, false); s.setView(2, 1, 2, false) })
			s.after(7*time.Second, func() { s.setView(3, 2, 3, false) })
		},
		"owner paused briefly": func(s *sim) {
			s.after(5*time.Second, func() { s.vms[0].paused = true })
			s.after(5700*ms, func() { s.resume(s.vms[0]) })
		},
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s := newSim(t, seed, 8, 20, defaultFloor, PolicyCredits)
				s.rate = 5000
				s.routes[0].deadline = time.Second
				set(s)
				s.onTick = s.checkSlots
				s.run(10 * time.Second)
				t.Logf("seed %d: done %d, sheds %d, refusals %v", seed, s.done, s.sheds, s.refusals)
				require.Zero(t, s.sheds)
			}
		})
	}
}

// Guards against a pool that stops when its owner does not answer. Clients must fall back
// to the copy or to their static shares, which together never exceed the slots.
func TestSilentOwnerFallsBackToStaticShares(t *testing.T) {
	for name, set := range map[string]func(s *sim){
		"owner":          func(s *sim) { s.vms[0].paused = true },
		"owner and copy": func(s *sim) { s.vms[0].paused, s.vms[1].paused = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 5, 8, 20, defaultFloor, PolicyCredits)
			s.rate = 1500
			s.run(6 * time.Second)
			set(s)
			s.run(4 * time.Second)
			s.arrivals, s.done, s.sheds = nil, 0, 0
			s.run(5 * time.Second)
			ok, total := 0, 0
			for _, q := range s.arrivals[:len(s.arrivals)-200] {
				if q.ok {
					ok++
				}
				total++
			}
			t.Logf("%d of %d answered, sheds %d", ok, total, s.sheds)
			require.Greater(t, float64(ok), 0.7*float64(total)) // requests of the paused VMs do not proceed
			require.Less(t, float64(s.sheds), 0.01*float64(s.done))
			s.resume(s.vms[0])
			s.resume(s.vms[1])
			s.run(5 * time.Second)
			for _, vm := range s.vms {
				require.Equal(t, modeOwner, vm.p.pools[poolID].client.mode, "%s has not returned to the owner", vm.member)
			}
		})
	}
}

// Compares the policies at peak load with a gray server. Only PolicyCredits must not exceed
// the slots; the results of the other policies are logged.
func TestPoliciesCompared(t *testing.T) {
	for _, policy := range []Policy{PolicyCredits, PolicyNoCredits, PolicyStatic, PolicyRoundRobin, PolicyLeastOutstanding, PolicyLocalEjection} {
		s := newSim(t, 1, 12, 20, defaultFloor, policy)
		s.rate = 4000
		s.routes[0].deadline = time.Second
		s.after(5*time.Second, func() { s.servers["s03"].fail = 0.3 })
		s.run(10 * time.Second)
		s.rate = 7000
		s.run(3 * time.Second)
		ok := 0
		for _, q := range s.arrivals {
			if q.ok {
				ok++
			}
		}
		t.Logf("%-18s answered %d of %d, failed %d, sheds %d, ejections %d", policy, ok, len(s.arrivals), s.failed, s.sheds, s.count(EventEjected))
		require.Greater(t, ok, len(s.arrivals)/3)
		if policy == PolicyCredits {
			require.Zero(t, s.sheds)
		}
	}
}

// Guards against work that stays in a full region while another region has free slots, and
// against work that is sent to another region unnecessarily.
func TestRemoteRegionOnlyWhenLocalWaitIsLonger(t *testing.T) {
	p, now := benchPools(1)
	far := fleet.Server{ID: "far", Service: service, Region: "hawassa", State: fleet.StateLive}
	near := fleet.Server{ID: "s00000", Service: service, Region: region, State: fleet.StateLive}
	vms := []fleet.VM{{ID: "v00", Region: region, State: fleet.StateLive}, {ID: "w00", Region: "hawassa", State: fleet.StateLive}}
	p.SetDirectory(now, fleet.NewDirectory(2, vms, []fleet.Server{near, far}))
	remote := p.pools[fleet.PoolID{Service: service, Region: "hawassa"}]
	require.Equal(t, region, p.choosePool(now, service).id.Region)
	for id := range WorkID(20) {
		p.Submit(now, Work{ID: 5000 + id, Service: service, Route: "menu", Weight: 1})
	}
	require.Equal(t, region, p.choosePool(now.Add(20*time.Millisecond), service).id.Region, "the wait is still shorter than the round trip")
	now = now.Add(30 * time.Millisecond)
	require.Equal(t, region, p.choosePool(now, service).id.Region, "the usage of the other region is not known yet")
	remote.client.lastState, remote.client.usedPct = now, 20
	require.Equal(t, fleet.Region("hawassa"), p.choosePool(now, service).id.Region)
	remote.client.usedPct = 90
	require.Equal(t, region, p.choosePool(now, service).id.Region)
	near.State = fleet.StateLeaving
	p.SetDirectory(now, fleet.NewDirectory(3, vms, []fleet.Server{near, far}))
	require.Equal(t, fleet.Region("hawassa"), p.choosePool(now, service).id.Region)
}

// Guards against a copy or a new owner that loses ejections when state is transferred.
func TestExportKeepsEjections(t *testing.T) {
	s := newSim(t, 2, 8, 20, document.Floor{Servers: 16}, PolicyCredits)
	s.rate = 600
	s.after(5*time.Second, func() { s.makeGray(0, 2) })
	s.run(10 * time.Second)
	id := shard.PoolShard(poolID)
	state, err := s.vms[0].p.Export(id)
	require.NoError(t, err)
	require.NoError(t, s.vms[4].p.Import(id, state))
	want, got := s.vms[0].p.pools[poolID].coord.ejectedRefs(), s.vms[4].p.pools[poolID].coord.ejectedRefs()
	require.Len(t, want, 2)
	require.Equal(t, want, got)
	require.Equal(t, want, s.vms[1].p.pools[poolID].coord.ejectedRefs(), "the copy must have the same ejections")
	// A copy that is added while ejections are not allowed after a loss of state must observe the rest of this time.
	s.vms[0].p.Reset(id, s.now)
	state, err = s.vms[0].p.Export(id)
	require.NoError(t, err)
	require.NoError(t, s.vms[4].p.Import(id, state))
	require.GreaterOrEqual(t, s.vms[4].p.pools[poolID].coord.ejectFrom, s.now.Add(ejectionLease))
	var e *result.Error
	require.ErrorAs(t, s.vms[4].p.Import(id, []byte{0xc1}), &e)
}

// Guards against a copy that, when the owner does not answer, still withholds servers whose
// ejection no client enforces any more. Servers that leave could then bring the pool below
// its floor.
func TestCopyOfSilentOwnerDropsEjections(t *testing.T) {
	s := newSim(t, 3, 8, 20, defaultFloor, PolicyCredits)
	s.rate = 2500
	s.run(5 * time.Second)
	srv := s.servers["s07"]
	srv.fail = 1
	s.run(5 * time.Second)
	require.Equal(t, 1, s.count(EventEjected))
	srv.fail = 0
	s.vms[0].paused = true
	s.run(ejectionLease + 2*time.Second)
	srv.regularWork = nil
	s.run(10 * time.Second)
	require.NotEmpty(t, srv.regularWork, "the server gets no work from VMs that use the copy")
}
