package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// leaveDrainDelay is the time after which a server that is listed as leaving declines new
// work. Until then the fleet can detect it only from the list, and must react within 3 s.
const leaveDrainDelay = 4 * time.Second

// restartDelay is how long a server is listed as leaving before it restarts.
const restartDelay = 3 * time.Second

// faultInjector applies and reverts the scenario's faults at their times, except for
// faults of routes, which are part of the request plan.
type faultInjector struct {
	tb   *testbed
	load *loadGenerator
	wg   sync.WaitGroup

	mu     sync.Mutex
	events []FaultEvent
}

// FaultEvent is the actual start or end of a fault, for plots and the detection time.
type FaultEvent struct {
	Fault   int       `json:"fault"` // index in the scenario
	Label   string    `json:"label"`
	At      time.Time `json:"-"`
	AtMS    float64   `json:"at_ms"` // since the start of the load
	Started bool      `json:"on"`
}

// run schedules all faults in the background. fi.wg is done when those that end within
// the run have been reverted.
func (fi *faultInjector) run(ctx context.Context, begin time.Time) {
	for i, f := range fi.tb.scenario.Faults {
		fi.wg.Add(1)
		go func() {
			defer fi.wg.Done()
			span := f.span(time.Duration(fi.tb.scenario.Duration))
			if !sleepUntil(ctx, begin.Add(time.Duration(span.Start))) {
				return
			}
			fi.recordEvent(i, f, begin, true)
			fi.apply(ctx, f, time.Duration(span.End-span.Start))
			if f.End == 0 || !sleepUntil(ctx, begin.Add(time.Duration(span.End))) {
				return
			}
			fi.revert(f)
			fi.recordEvent(i, f, begin, false)
		}()
	}
}

// sleepUntil reports whether the time was reached before ctx was done.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (fi *faultInjector) recordEvent(i int, f Fault, begin time.Time, started bool) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	now := time.Now()
	fi.events = append(fi.events, FaultEvent{i, f.label(), now, float64(now.Sub(begin).Microseconds()) / 1000, started})
}

func (f Fault) label() string {
	target := ""
	switch {
	case len(f.Servers) > 0:
		target = string(f.Servers[0])
	case f.Service != "":
		target = string(f.Service)
	case len(f.VMs) > 0:
		target = string(f.VMs[0])
	case f.Zone != "":
		target = string(f.Zone)
	case len(f.Routes) > 0:
		target = f.Routes[0]
	}
	if target == "" {
		return string(f.Kind)
	}
	return fmt.Sprintf("%s %s", f.Kind, target)
}

// targets returns the servers that the fault affects, by id or by service.
func (tb *testbed) targets(f Fault) []fleet.ServerID {
	out := slices.Clone(f.Servers)
	if f.Service != "" && f.Kind != FaultServerStart {
		for _, z := range tb.scenario.Topology.zones() {
			for n := 1; n <= tb.scenario.Services[f.Service].Servers[z]; n++ {
				out = append(out, serverID(f.Service, z, n))
			}
		}
	}
	return out
}

func (fi *faultInjector) apply(ctx context.Context, f Fault, duration time.Duration) {
	tb := fi.tb
	switch f.Kind {
	case FaultGray, FaultColdRestart, FaultServerLeave:
		for _, id := range tb.targets(f) {
			fi.applyToServer(ctx, f, id)
		}
	case FaultServerStart:
		for k := range f.Count {
			n := tb.scenario.Services[f.Service].Servers[f.Zone] + 1 + k
			_ = tb.fleet.StartServer(tb.serverSpec(f.Service, f.Zone, n))
		}
	case FaultVMKill:
		for _, id := range f.VMs {
			fi.killVM(id)
		}
	case FaultVMStop:
		for _, id := range f.VMs {
			fi.stopVM(id)
		}
	case FaultLinkCut, FaultZoneCut:
		tb.setCut(f, true)
	case FaultLogOutage:
		tb.fleet.Log.SetControl(standin.LogControl{Outage: true})
	case FaultListOutage:
		tb.fleet.List.SetControl(standin.ListControl{Outage: true})
	case FaultListLag:
		tb.fleet.List.SetControl(standin.ListControl{LagMS: time.Duration(f.Lag).Milliseconds()})
	case FaultBadCallers:
		fi.wg.Add(1)
		go func() {
			defer fi.wg.Done()
			ctx, cancel := context.WithTimeout(ctx, duration)
			defer cancel()
			fi.load.badCallers(ctx, f.Rate)
		}()
	}
}

func (fi *faultInjector) applyToServer(ctx context.Context, f Fault, id fleet.ServerID) {
	b := fi.tb.fleet.Backend(id)
	if b == nil {
		return
	}
	switch f.Kind {
	case FaultGray:
		b.SetMode(f.Mode.standinMode())
	case FaultColdRestart:
		fi.listLeaving(id, b)
		fi.wg.Add(1)
		go func() {
			defer fi.wg.Done()
			if sleepUntil(ctx, time.Now().Add(restartDelay)) {
				fi.restartServer(id, b)
			}
		}()
	case FaultServerLeave:
		fi.listLeaving(id, b)
		fi.wg.Add(1)
		go func() {
			defer fi.wg.Done()
			if sleepUntil(ctx, time.Now().Add(leaveDrainDelay)) {
				b.Drain(true)
			}
		}()
	}
}

func (fi *faultInjector) listLeaving(id fleet.ServerID, b *standin.Backend) {
	row := fi.tb.server(id)
	row.Addr, row.State = b.Addr(), fleet.StateLeaving
	fi.tb.fleet.List.PutServer(row)
}

// restartServer replaces a server by a cold instance with the same id and keeps the
// counts and ledger of the old one.
func (fi *faultInjector) restartServer(id fleet.ServerID, b *standin.Backend) {
	tb := fi.tb
	row := tb.server(id)
	tb.fleet.List.RemoveServer(id)
	b.Close()
	tb.mu.Lock()
	tb.replaced = append(tb.replaced, replacedServer{id, b.Counts(), b.Ledger()})
	tb.mu.Unlock()
	_ = tb.fleet.StartServer(tb.startSpec(row))
}

func (fi *faultInjector) revert(f Fault) {
	tb := fi.tb
	switch f.Kind {
	case FaultGray:
		for _, id := range tb.targets(f) {
			if b := tb.fleet.Backend(id); b != nil {
				b.SetMode(standin.Mode{})
			}
		}
	case FaultServerLeave:
		for _, id := range f.Servers {
			tb.fleet.List.RemoveServer(id)
		}
	case FaultVMKill, FaultVMStop:
		for _, id := range f.VMs {
			if err := tb.fleet.StartVM(tb.specs[id]); err == nil {
				fi.load.addTarget(id)
			}
		}
	case FaultLinkCut, FaultZoneCut:
		tb.setCut(f, false)
	case FaultLogOutage:
		tb.fleet.Log.SetControl(standin.LogControl{})
	case FaultListOutage, FaultListLag:
		tb.fleet.List.SetControl(standin.ListControl{})
	}
}

// killVM crashes a VM. The load balancer stops sending to it at once.
func (fi *faultInjector) killVM(id fleet.VMID) {
	tb := fi.tb
	fi.load.dropTarget(id)
	tb.saveEvents(id)
	tb.mu.Lock()
	tb.crashes = append(tb.crashes, vmCrash{id, time.Now()})
	tb.mu.Unlock()
	tb.fleet.KillVM(id)
	tb.monitor.vmCrashed(id)
}

// stopVM shuts a VM down gracefully. The load balancer drops it first, as it would when
// the VM is no longer ready.
func (fi *faultInjector) stopVM(id fleet.VMID) {
	fi.load.dropTarget(id)
	fi.wg.Add(1)
	go func() {
		defer fi.wg.Done()
		n := fi.tb.fleet.Node(id)
		_ = fi.tb.fleet.StopVM(id)
		if n != nil {
			fi.tb.saveNodeEvents(n)
		}
	}()
}

type eventSource interface {
	Events(context.Context, journal.Query) ([]fleet.Event, error)
}

func (tb *testbed) saveEvents(id fleet.VMID) {
	if n := tb.fleet.Node(id); n != nil {
		tb.saveNodeEvents(n)
	}
}

func (tb *testbed) saveNodeEvents(n eventSource) {
	events, err := n.Events(context.Background(), journal.Query{})
	if err != nil {
		return
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.events = append(tb.events, events...)
}
