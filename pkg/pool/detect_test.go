package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Clone(d)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

var defaultFloor = document.Floor{Servers: 16}

// detectionTime returns how long after the start of the fault the server last got regular work.
func detectionTime(t *testing.T, seed uint64, fault func(*simServer)) time.Duration {
	s := newSim(t, seed, 12, 20, defaultFloor, PolicyCredits)
	s.rate = 200
	s.run(20 * time.Second)
	require.Zero(t, s.count(EventEjected), "seed %d: ejected before the fault", seed)
	srv := s.servers["s07"]
	fault(srv)
	at := s.now
	s.run(8 * time.Second)
	for _, e := range s.events {
		if e.Kind == EventEjected {
			require.Equal(t, fleet.ServerID("s07"), e.Server, "seed %d: %v", seed, e)
		}
	}
	last := at
	for _, x := range srv.regularWork {
		last = max(last, x)
	}
	return last.Sub(at)
}

// Guards against gray servers that keep getting work because their health probes pass: 30%
// of requests fail, or requests take five times longer, at 10 requests/s per server.
func TestGrayServerIsDetected(t *testing.T) {
	for name, fault := range map[string]func(*simServer){
		"failing 30%":       func(s *simServer) { s.fail = 0.3 },
		"unreachable":       func(s *simServer) { s.unreachable = true },
		"five times slower": func(s *simServer) { s.slow = 5 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all []time.Duration
			for seed := range uint64(40) {
				all = append(all, detectionTime(t, seed, fault))
			}
			t.Logf("median %v p90 %v worst %v", quantile(all, 0.5), quantile(all, 0.9), quantile(all, 1))
			require.LessOrEqual(t, quantile(all, 0.5), 2*time.Second)
			require.LessOrEqual(t, quantile(all, 1), 5*time.Second)
		})
	}
}

// Guards against the ejection of healthy servers because of faults elsewhere.
func TestNoFalseEjection(t *testing.T) {
	cases := map[string]func(*sim){
		"stragglers":             func(s *sim) { s.stragglerShare, s.rate = 0.05, 800 },
		"stragglers at low load": func(s *sim) { s.stragglerShare, s.rate = 0.05, 40 },
		"peak load":              func(s *sim) { s.rate = 11000; s.routes[0].deadline = 2 * time.Second },
		"cold start": func(s *sim) {
			s.rate = 1500
			s.after(5*time.Second, func() {
				for i := 20; i < 24; i++ {
					id := fleet.ServerID(fmt.Sprintf("s%02d", i))
					s.ids = append(s.ids, id)
					s.servers[id] = &simServer{slow: 10, row: fleet.Server{ID: id, Service: service, Region: region, Zone: simZone(i), State: fleet.StateLive}}
					s.after(2500*ms, func() { s.servers[id].slow = 1 })
				}
				s.setDirectory()
			})
		},
		"restart under the same id": func(s *sim) {
			s.rate = 1500
			s.after(5*time.Second, func() {
				srv := s.servers["s03"]
				srv.row.State = fleet.StateLeaving
				s.setDirectory()
				s.after(3*time.Second, func() {
					srv.row.State, srv.slow = fleet.StateLive, 10
					s.setDirectory()
					s.after(2500*ms, func() { srv.slow = 1 })
				})
			})
		},
		"failing route": func(s *sim) {
			s.rate = 300
			s.routes = append(s.routes, simRoute{name: "broken", work: 10 * ms, weight: 1, share: 0.1, fail: 1, deadline: 10 * time.Second})
			s.routes[0].share = 0.9
		},
		"slow route": func(s *sim) {
			s.rate = 300
			s.routes = append(s.routes, simRoute{name: "report", work: 30 * ms, spread: 0.5, weight: 1, share: 0.1, deadline: 10 * time.Second})
			s.routes[0].share = 0.9
			s.after(8*time.Second, func() { s.routes[1].work = 400 * ms })
		},
		"zone cut": func(s *sim) {
			s.rate = 800
			s.after(8*time.Second, func() {
				s.linkCut = func(a, b fleet.VMID) bool { return a[2]%2 != b[2]%2 }
				s.serverCut = func(vm *simVM, srv *simServer) bool { return vm.zone != srv.row.Zone }
			})
		},
		"zone cut to servers only": func(s *sim) {
			s.rate = 800
			s.after(8*time.Second, func() {
				s.serverCut = func(vm *simVM, srv *simServer) bool { return vm.zone == "addis-b" && srv.row.Zone == "addis-a" }
			})
		},
		"bad caller": func(s *sim) {
			s.rate = 300
			r := &simRoute{name: "menu", work: 10 * ms, weight: 1, fail: 1, deadline: 10 * time.Second}
			var bad func()
			bad = func() { s.request(s.vms[3], r); s.after(25*ms, bad) }
			s.after(5*time.Second, bad)
		},
		"whole pool failing": func(s *sim) {
			s.rate = 400
			s.after(8*time.Second, func() {
				for _, id := range s.ids {
					s.servers[id].fail = 0.5
				}
			})
		},
		"whole pool slow": func(s *sim) {
			s.rate = 400
			s.after(8*time.Second, func() {
				for _, id := range s.ids {
					s.servers[id].slow = 6
				}
			})
		},
		"random errors": func(s *sim) { s.rate, s.routes[0].fail = 800, 0.02 },
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(6) {
				s := newSim(t, seed, 8, 20, defaultFloor, PolicyCredits)
				set(s)
				s.run(min(40, max(12, time.Duration(40000/s.rate))) * time.Second)
				for _, e := range s.events {
					if e.Kind == EventEjected {
						t.Errorf("seed %d: %s %s %v", seed, e.Server, e.Reason, e.Detail)
					}
				}
				if seed == 0 {
					t.Logf("done %d failed %d sheds %d refusals %v path faults %d", s.done, s.failed, s.sheds, s.refusals, s.count(EventPathFault))
				}
			}
		})
	}
}
