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

// leaveDrain is how long after its listing a leaving server declines new work itself.
// Until then only the list tells the fleet, whose limit is 3 s.
const leaveDrain = 4 * time.Second

// restartTime is how long a server is listed as leaving before it starts again.
const restartTime = 3 * time.Second

// director puts the scenario's faults into force at their times.
type director struct {
	w    *world
	load *load
	wg   sync.WaitGroup

	mu    sync.Mutex
	marks []Mark
}

// Mark is a fault's start or end as it happened, for plots and detection.
type Mark struct {
	Fault int       `json:"fault"` // index in the scenario
	Label string    `json:"label"`
	At    time.Time `json:"-"`
	MS    float64   `json:"at_ms"` // since the start of the load
	On    bool      `json:"on"`
}

// run plays all faults and waits for those that end within the run.
func (d *director) run(ctx context.Context, begin time.Time) {
	for i, f := range d.w.s.Faults {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			span := f.span(time.Duration(d.w.s.Duration))
			if !until(ctx, begin.Add(time.Duration(span.Start))) {
				return
			}
			d.mark(i, f, begin, true)
			d.begin(ctx, f, time.Duration(span.End-span.Start))
			if f.End == 0 || !until(ctx, begin.Add(time.Duration(span.End))) {
				return
			}
			d.end(f)
			d.mark(i, f, begin, false)
		}()
	}
}

func until(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *director) mark(i int, f Fault, begin time.Time, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.marks = append(d.marks, Mark{i, f.label(), now, float64(now.Sub(begin).Microseconds()) / 1000, on})
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

// targets returns the servers that the fault names.
func (w *world) targets(f Fault) []fleet.ServerID {
	out := slices.Clone(f.Servers)
	if f.Service != "" && f.Kind != FaultStart {
		for _, z := range w.s.Topology.zones() {
			for n := 1; n <= w.s.Services[f.Service].Servers[z]; n++ {
				out = append(out, serverID(f.Service, z, n))
			}
		}
	}
	return out
}

func (d *director) begin(ctx context.Context, f Fault, lasts time.Duration) {
	w := d.w
	switch f.Kind {
	case FaultGray, FaultCold, FaultLeave:
		for _, id := range w.targets(f) {
			d.server(ctx, f, id)
		}
	case FaultStart:
		for k := range f.Count {
			n := w.s.Services[f.Service].Servers[f.Zone] + 1 + k
			_ = w.fleet.StartServer(w.serverSpec(f.Service, f.Zone, n))
		}
	case FaultVMKill:
		for _, id := range f.VMs {
			d.kill(id)
		}
	case FaultVMStop:
		for _, id := range f.VMs {
			d.stop(id)
		}
	case FaultLinkCut, FaultZoneCut:
		w.setCut(f, true)
	case FaultLogOutage:
		w.fleet.Log.SetControl(standin.LogControl{Outage: true})
	case FaultListOutage:
		w.fleet.List.SetControl(standin.ListControl{Outage: true})
	case FaultListLag:
		w.fleet.List.SetControl(standin.ListControl{LagMS: time.Duration(f.Lag).Milliseconds()})
	case FaultBadCallers:
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			ctx, cancel := context.WithTimeout(ctx, lasts)
			defer cancel()
			d.load.badCallers(ctx, f.Rate)
		}()
	}
}

func (d *director) server(ctx context.Context, f Fault, id fleet.ServerID) {
	b := d.w.fleet.Backend(id)
	if b == nil {
		return
	}
	switch f.Kind {
	case FaultGray:
		b.SetMode(f.Mode.mode())
	case FaultCold:
		d.listLeaving(id, b)
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			if until(ctx, time.Now().Add(restartTime)) {
				d.restart(id, b)
			}
		}()
	case FaultLeave:
		d.listLeaving(id, b)
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			if until(ctx, time.Now().Add(leaveDrain)) {
				b.Drain(true)
			}
		}()
	}
}

func (d *director) listLeaving(id fleet.ServerID, b *standin.Backend) {
	row := d.w.server(id)
	row.Addr, row.State = b.Addr(), fleet.StateLeaving
	d.w.fleet.List.PutServer(row)
}

// restart replaces a server by a cold one of the same id and keeps its ledger.
func (d *director) restart(id fleet.ServerID, b *standin.Backend) {
	w := d.w
	row := w.server(id)
	w.fleet.List.RemoveServer(id)
	b.Close()
	w.mu.Lock()
	w.ended = append(w.ended, endedServer{id, b.Counts(), b.Ledger()})
	w.mu.Unlock()
	_ = w.fleet.StartServer(w.coldSpec(row))
}

func (d *director) end(f Fault) {
	w := d.w
	switch f.Kind {
	case FaultGray:
		for _, id := range w.targets(f) {
			if b := w.fleet.Backend(id); b != nil {
				b.SetMode(standin.Mode{})
			}
		}
	case FaultLeave:
		for _, id := range f.Servers {
			w.fleet.List.RemoveServer(id)
		}
	case FaultVMKill, FaultVMStop:
		for _, id := range f.VMs {
			if err := w.fleet.StartVM(w.specs[id]); err == nil {
				d.load.addTarget(id)
			}
		}
	case FaultLinkCut, FaultZoneCut:
		w.setCut(f, false)
	case FaultLogOutage:
		w.fleet.Log.SetControl(standin.LogControl{})
	case FaultListOutage, FaultListLag:
		w.fleet.List.SetControl(standin.ListControl{})
	}
}

// kill crashes a VM. The load balancer notices at once.
func (d *director) kill(id fleet.VMID) {
	w := d.w
	d.load.dropTarget(id)
	w.keepEvents(id)
	w.mu.Lock()
	w.killed = append(w.killed, vmDeath{id, time.Now()})
	w.mu.Unlock()
	w.fleet.KillVM(id)
	w.watch.vmEnded(id)
}

// stop shuts a VM down gracefully: the load balancer drops it when it is no longer
// ready.
func (d *director) stop(id fleet.VMID) {
	d.load.dropTarget(id)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		n := d.w.fleet.Node(id)
		_ = d.w.fleet.StopVM(id)
		if n != nil {
			d.w.keepEventsOf(n)
		}
	}()
}

type eventSource interface {
	Events(context.Context, journal.Query) ([]fleet.Event, error)
}

func (w *world) keepEvents(id fleet.VMID) {
	if n := w.fleet.Node(id); n != nil {
		w.keepEventsOf(n)
	}
}

func (w *world) keepEventsOf(n eventSource) {
	events, err := n.Events(context.Background(), journal.Query{})
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, events...)
}
