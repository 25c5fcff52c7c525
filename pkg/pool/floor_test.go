package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// unionHealthy returns how many listed servers no VM holds out because of an ejection.
func (s *sim) unionHealthy() int {
	n := 0
	for i, id := range s.ids {
		out := s.servers[id].row.State != fleet.StateLive
		for _, vm := range s.vms {
			pl := vm.p.pools[poolID]
			out = out || i < len(pl.order) && s.now < pl.rows[pl.order[i]].cl.ejected
		}
		if !out {
			n++
		}
	}
	return n
}

// Guards against ejections that together take the pool below its floor: more gray
// servers than the floor allows, while coordinators change, pause and are cut off.
func TestUnionOfEjectionsKeepsFloor(t *testing.T) {
	const floor = 16
	cases := map[string]func(*sim){
		"no other fault": func(*sim) {},
		"owner paused": func(s *sim) {
			s.after(6*time.Second, func() { s.vms[0].paused = true })
			s.after(16*time.Second, func() { s.resume(s.vms[0]) })
		},
		"owner paused, copy takes over": func(s *sim) {
			s.after(5*time.Second, func() { s.vms[0].paused = true })
			s.after(8*time.Second, func() { s.setView(2, 1, -1, false) })
			s.after(11*time.Second, func() {
				state, err := s.vms[1].p.Export(s.vms[1].auth.view.Shard)
				require.NoError(s.t, err)
				require.NoError(s.t, s.vms[2].p.Import(s.vms[1].auth.view.Shard, state))
				s.setView(3, 1, 2, false)
			})
		},
		"client cut off": func(s *sim) {
			s.after(5*time.Second, func() { s.cutVM = func(a, b fleet.VMID) bool { return a == "v03" || b == "v03" } })
			s.after(15*time.Second, func() { s.cutVM = func(a, b fleet.VMID) bool { return false } })
		},
		"answers to a client lost": func(s *sim) {
			s.after(5*time.Second, func() { s.cutVM = func(a, b fleet.VMID) bool { return b == "v03" } })
		},
		"lost history": func(s *sim) {
			s.after(7*time.Second, func() { s.vms[0].paused, s.vms[1].paused = true, true })
			s.after(9*time.Second, func() { s.setView(2, 2, -1, true) })
		},
		"copy cut from owner": func(s *sim) {
			s.after(7*time.Second, func() {
				s.cutVM = func(a, b fleet.VMID) bool { return a == "v01" && b == "v00" }
			})
		},
		"former owner still runs": func(s *sim) {
			s.after(6*time.Second, func() { s.vms[0].paused = true })
			s.after(8*time.Second, func() {
				old := *s.vms[0].auth
				s.setView(2, 1, -1, false)
				*s.vms[0].auth = old
			})
			s.after(9*time.Second, func() { s.resume(s.vms[0]) })
		},
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			least := 20
			for seed := range uint64(5) {
				s := newSim(t, seed, 8, 20, document.Floor{Servers: floor}, PolicyCredits)
				s.rate = 600
				set(s)
				// The second wave comes when the first has used up the budget.
				s.after(4500*ms, func() { s.gray(0, 6) })
				s.after(10*time.Second, func() { s.heal(0, 3); s.gray(10, 16) })
				s.onTick = func() {
					least = min(least, s.unionHealthy())
					require.GreaterOrEqual(t, s.unionHealthy(), floor, "seed %d at %v", seed, s.now.Sub(fleet.Time(time.Hour)))
				}
				s.run(40 * time.Second)
				if seed == 0 {
					t.Logf("least healthy %d, ejections %d, readmissions %d, refusals by the floor %d", least, s.count(EventEjected), s.count(EventReadmitted), s.count(EventFloorRefused))
				}
				require.Positive(t, s.count(EventEjected))
			}
		})
	}
}

func (s *sim) gray(from, to int) {
	for _, id := range s.ids[from:to] {
		s.servers[id].fail = 0.6
	}
}

func (s *sim) heal(from, to int) {
	for _, id := range s.ids[from:to] {
		s.servers[id].fail = 0
	}
}

// Guards against an ejection that outlasts the loss of other servers: the pool must
// get the least suspect server back at once.
func TestLeaveBelowFloorReturnsServer(t *testing.T) {
	s := newSim(t, 3, 8, 20, document.Floor{Servers: 16}, PolicyCredits)
	s.rate = 600
	s.after(5*time.Second, func() { s.gray(0, 4) })
	s.run(12 * time.Second)
	require.Equal(t, 4, s.count(EventEjected))
	for _, id := range s.ids[18:] {
		s.servers[id].row.State = fleet.StateLeaving
	}
	s.setDirectory()
	s.run(250 * ms)
	require.Equal(t, 2, s.count(EventFloorReturn))
	require.Equal(t, 16, s.unionHealthy())
}

// Guards against new work on a server that leaves, whether the list or only the
// server's own answer says so.
func TestLeavingServerGetsNothing(t *testing.T) {
	s := newSim(t, 4, 8, 20, usualFloor, PolicyCredits)
	s.rate = 1500
	s.run(8 * time.Second)
	listed, told := s.servers["s03"], s.servers["s05"]
	told.drains = true
	listed.row.State = fleet.StateLeaving
	dir := s.directory()
	at := s.now
	for i, vm := range s.vms {
		s.after(time.Duration(i)*250*ms, func() { s.at(vm, func() { vm.p.SetDirectory(s.now, dir) }) }) // the list lags by up to 2 s
	}
	s.run(6 * time.Second)
	for _, srv := range []*simServer{listed, told} {
		last := srv.ordinary[len(srv.ordinary)-1].Sub(at)
		t.Logf("%s: last work %v after the leave", srv.row.ID, last)
		require.Less(t, last, 3*time.Second)
	}
}

// Guards against a flapping server that returns between its bad spells, and against
// one that stays out after it is well.
func TestFlappingServerIsHeldOut(t *testing.T) {
	for _, period := range []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			t.Parallel()
			var back []time.Duration
			for seed := range uint64(4) {
				s := newSim(t, seed, 8, 20, usualFloor, PolicyCredits)
				s.rate = 300
				srv := s.servers["s07"]
				srv.fail = 0.8
				srv.flap = func(at time.Duration) bool { return at > 6*time.Second && at%period < period/2 }
				s.run(3 * time.Minute)
				from := s.now.Add(-time.Minute)
				all, late := 0, 0
				for _, x := range srv.ordinary {
					if x >= from {
						late++
					}
				}
				for _, id := range s.ids {
					all += len(s.servers[id].ordinary)
				}
				srv.flap = func(time.Duration) bool { return false }
				well := s.now
				s.run(30 * time.Second)
				last := srv.ordinary[len(srv.ordinary)-1]
				require.Greater(t, last, well, "seed %d: not back 30 s after lasting health", seed)
				for _, x := range srv.ordinary {
					if x >= well {
						back = append(back, x.Sub(well))
						break
					}
				}
				t.Logf("seed %d: ejections %d, ordinary work in the last minute of flapping %d of about %d", seed, s.count(EventEjected), late, all/190*60/20)
				require.Less(t, late, 60, "seed %d: not held out", seed)
			}
			t.Logf("back after %v", back)
		})
	}
}

// Guards against repeats that add to a total outage.
func TestTotalOutageHasFewRepeats(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, seed, 8, 20, usualFloor, PolicyCredits)
		s.rate = 400
		s.run(10 * time.Second)
		for _, id := range s.ids {
			s.servers[id].fail = 1
		}
		s.firsts, s.repeats = 0, 0
		s.run(10 * time.Second)
		t.Logf("seed %d: first tries %d, repeats %d", seed, s.firsts, s.repeats)
		require.LessOrEqual(t, float64(s.repeats), 0.1*float64(s.firsts))
		require.Zero(t, s.count(EventEjected))
		require.Positive(t, s.count(EventBudget))
		require.Empty(t, s.refusals[result.NoServer])
	}
}

// Guards against a server that never returns because there is no idempotent work to
// try it with, and against passing probes that bring a gray server back for long.
func TestProbationWithoutIdempotentWork(t *testing.T) {
	s := newSim(t, 6, 8, 20, usualFloor, PolicyCredits)
	s.rate, s.routes[0].once = 400, true
	s.after(5*time.Second, func() { s.gray(7, 8) })
	s.run(90 * time.Second)
	srv := s.servers["s07"]
	late := 0
	for _, x := range srv.ordinary {
		if x > s.now.Add(-30*time.Second) {
			late++
		}
	}
	t.Logf("ejections %d, work in the last 30 s of grayness %d", s.count(EventEjected), late)
	require.Less(t, late, 60) // of about 600
	s.heal(7, 8)
	well := s.now
	s.run(30 * time.Second)
	require.Greater(t, srv.ordinary[len(srv.ordinary)-1], well)
}

// Guards against decisions that depend on map order or a hidden clock.
func TestSameSeedSameRun(t *testing.T) {
	run := func() (int, int, int) {
		s := newSim(t, 9, 8, 20, usualFloor, PolicyCredits)
		s.rate, s.stragg = 900, 0.02
		s.routes = append(s.routes, simRoute{name: "report", work: 300 * ms, spread: 0.5, weight: 2, share: 0.05, deadline: 9 * time.Second})
		s.routes[0].share = 0.95
		s.after(5*time.Second, func() { s.gray(2, 5) })
		s.run(15 * time.Second)
		return s.bytes, s.done, len(s.events)
	}
	bytes, done, events := run()
	for range 3 {
		b, d, e := run()
		require.Equal(t, []int{bytes, done, events}, []int{b, d, e})
	}
}
