package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// unionHealthy returns the number of live servers on which no VM enforces an ejection.
func (s *sim) unionHealthy() int {
	n := 0
	for i, id := range s.ids {
		unavailable := s.servers[id].row.State != fleet.StateLive
		for _, vm := range s.vms {
			pl := vm.p.pools[poolID]
			unavailable = unavailable || i < len(pl.sortedRows) && s.now < pl.rows[pl.sortedRows[i]].client.ejectedUntil
		}
		if !unavailable {
			n++
		}
	}
	return n
}

// Guards against ejections by different coordinators that together bring the pool below
// its floor. There are more gray servers than the floor allows to eject, while coordinators
// change, pause and are partitioned.
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
			s.after(5*time.Second, func() { s.linkCut = func(a, b fleet.VMID) bool { return a == "v03" || b == "v03" } })
			s.after(15*time.Second, func() { s.linkCut = func(a, b fleet.VMID) bool { return false } })
		},
		"answers to a client lost": func(s *sim) {
			s.after(5*time.Second, func() { s.linkCut = func(a, b fleet.VMID) bool { return b == "v03" } })
		},
		"lost history": func(s *sim) {
			s.after(7*time.Second, func() { s.vms[0].paused, s.vms[1].paused = true, true })
			s.after(9*time.Second, func() { s.setView(2, 2, -1, true) })
		},
		"copy cut from owner": func(s *sim) {
			s.after(7*time.Second, func() {
				s.linkCut = func(a, b fleet.VMID) bool { return a == "v01" && b == "v00" }
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
			minHealthy := 20
			for seed := range uint64(5) {
				s := newSim(t, seed, 8, 20, document.Floor{Servers: floor}, PolicyCredits)
				s.rate = 600
				set(s)
				// The second group turns gray when the first has used up the allowed ejections.
				s.after(4500*ms, func() { s.makeGray(0, 6) })
				s.after(10*time.Second, func() { s.makeHealthy(0, 3); s.makeGray(10, 16) })
				s.onTick = func() {
					minHealthy = min(minHealthy, s.unionHealthy())
					require.GreaterOrEqual(t, s.unionHealthy(), floor, "seed %d at %v", seed, s.now.Sub(fleet.Time(time.Hour)))
				}
				s.run(40 * time.Second)
				if seed == 0 {
					t.Logf("least healthy %d, ejections %d, readmissions %d, refusals by the floor %d", minHealthy, s.count(EventEjected), s.count(EventReadmitted), s.count(EventFloorRefused))
				}
				require.Positive(t, s.count(EventEjected))
			}
		})
	}
}

func (s *sim) makeGray(from, to int) {
	for _, id := range s.ids[from:to] {
		s.servers[id].fail = 0.6
	}
}

func (s *sim) makeHealthy(from, to int) {
	for _, id := range s.ids[from:to] {
		s.servers[id].fail = 0
	}
}

// Guards against ejections that stay in effect when other servers leave: the server with
// the lowest score must be readmitted immediately to keep the pool at its floor.
func TestLeaveBelowFloorReadmitsServer(t *testing.T) {
	s := newSim(t, 3, 8, 20, document.Floor{Servers: 16}, PolicyCredits)
	s.rate = 600
	s.after(5*time.Second, func() { s.makeGray(0, 4) })
	s.run(12 * time.Second)
	require.Equal(t, 4, s.count(EventEjected))
	for _, id := range s.ids[18:] {
		s.servers[id].row.State = fleet.StateLeaving
	}
	s.setDirectory()
	s.run(250 * ms)
	require.Equal(t, 2, s.count(EventFloorReadmitted))
	require.Equal(t, 16, s.unionHealthy())
}

// Guards against new work on a server that is shutting down, whether the list or only the
// server's own response reports it, a refusal included.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	s := newSim(t, 4, 8, 20, defaultFloor, PolicyCredits)
	s.rate = 1500
	s.run(8 * time.Second)
	listed, reported, refusing := s.servers["s03"], s.servers["s05"], s.servers["s07"]
	reported.draining, refusing.drainSheds = true, true
	listed.row.State = fleet.StateLeaving
	dir := s.directory()
	at := s.now
	for i, vm := range s.vms {
		s.after(time.Duration(i)*250*ms, func() { s.at(vm, func() { vm.p.SetDirectory(s.now, dir) }) }) // the list lags by up to 2 s
	}
	s.run(6 * time.Second)
	for _, srv := range []*simServer{listed, reported, refusing} {
		last := srv.regularWork[len(srv.regularWork)-1].Sub(at)
		t.Logf("%s: last work %v after the change of state", srv.row.ID, last)
		require.Less(t, last, 3*time.Second)
	}
}

// Guards against readmission of a flapping server between its gray periods, and against a
// server that stays ejected after it has recovered.
func TestFlappingServerStaysEjected(t *testing.T) {
	for _, period := range []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			t.Parallel()
			var delays []time.Duration
			for seed := range uint64(4) {
				s := newSim(t, seed, 8, 20, defaultFloor, PolicyCredits)
				s.rate = 300
				srv := s.servers["s07"]
				srv.fail = 0.8
				srv.grayAt = func(at time.Duration) bool { return at > 6*time.Second && at%period < period/2 }
				s.run(3 * time.Minute)
				from := s.now.Add(-time.Minute)
				all, recent := 0, 0
				for _, x := range srv.regularWork {
					if x >= from {
						recent++
					}
				}
				for _, id := range s.ids {
					all += len(s.servers[id].regularWork)
				}
				srv.grayAt = func(time.Duration) bool { return false }
				recoveredAt := s.now
				s.run(30 * time.Second)
				last := srv.regularWork[len(srv.regularWork)-1]
				require.Greater(t, last, recoveredAt, "seed %d: not readmitted within 30 s of recovery", seed)
				for _, x := range srv.regularWork {
					if x >= recoveredAt {
						delays = append(delays, x.Sub(recoveredAt))
						break
					}
				}
				t.Logf("seed %d: ejections %d, regular work in the last minute of flapping %d of about %d", seed, s.count(EventEjected), recent, all/190*60/20)
				require.Less(t, recent, 60, "seed %d: not kept ejected", seed)
			}
			t.Logf("readmitted after %v", delays)
		})
	}
}

// Guards against retries that add load during a total outage.
func TestTotalOutageHasFewRetries(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, seed, 8, 20, defaultFloor, PolicyCredits)
		s.rate = 400
		s.run(10 * time.Second)
		for _, id := range s.ids {
			s.servers[id].fail = 1
		}
		s.firstAttempts, s.retries = 0, 0
		s.run(10 * time.Second)
		t.Logf("seed %d: first attempts %d, retries %d", seed, s.firstAttempts, s.retries)
		require.LessOrEqual(t, float64(s.retries), 0.1*float64(s.firstAttempts))
		require.Zero(t, s.count(EventEjected))
		require.Positive(t, s.count(EventRetryBudgetSpent))
		require.Empty(t, s.refusals[result.NoServer])
	}
}

// Guards against a server that is never readmitted because there is no idempotent work for
// trials, and against a gray server that stays in use because its health probes pass.
func TestProbationWithoutIdempotentWork(t *testing.T) {
	s := newSim(t, 6, 8, 20, defaultFloor, PolicyCredits)
	s.rate, s.routes[0].nonIdempotent = 400, true
	s.after(5*time.Second, func() { s.makeGray(7, 8) })
	s.run(90 * time.Second)
	srv := s.servers["s07"]
	recent := 0
	for _, x := range srv.regularWork {
		if x > s.now.Add(-30*time.Second) {
			recent++
		}
	}
	t.Logf("ejections %d, work in the last 30 s of the fault %d", s.count(EventEjected), recent)
	require.Less(t, recent, 60) // of about 600
	s.makeHealthy(7, 8)
	recoveredAt := s.now
	s.run(30 * time.Second)
	require.Greater(t, srv.regularWork[len(srv.regularWork)-1], recoveredAt)
}

// Guards against decisions that depend on map order or on the system clock.
func TestSameSeedSameRun(t *testing.T) {
	run := func() (int, int, int) {
		s := newSim(t, 9, 8, 20, defaultFloor, PolicyCredits)
		s.rate, s.stragglerShare = 900, 0.02
		s.routes = append(s.routes, simRoute{name: "report", work: 300 * ms, spread: 0.5, weight: 2, share: 0.05, deadline: 9 * time.Second})
		s.routes[0].share = 0.95
		s.after(5*time.Second, func() { s.makeGray(2, 5) })
		s.run(15 * time.Second)
		return s.bytes, s.done, len(s.events)
	}
	bytes, done, events := run()
	for range 3 {
		b, d, e := run()
		require.Equal(t, []int{bytes, done, events}, []int{b, d, e})
	}
}
