package fleetsim

import (
	"fmt"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// vm is an entry VM: its balancer and what the gateway does around it.
type vm struct {
	id      fleet.VMID
	zone    *Zone
	balance *balance.Balancer
	digests balance.DigestTimes
	origin  fleet.Time // start of this process
	up      bool
	next    pool.WorkID
	life    int // processes that ran on this VM
}

// request is a request of a caller.
type request struct {
	route    *Route
	begun    fleet.Time
	deadline fleet.Time
	attempts int
	tried    []fleet.ServerID
}

// tick is the pause between two steps of a VM's balancer.
const tick = 10 * time.Millisecond

// start starts a process with an empty balancer that knows all servers.
func (w *world) start(v *vm) {
	v.life++
	v.up, v.origin, v.digests, v.next = true, w.now, balance.DigestTimes{}, 0
	s := w.s
	v.balance = balance.New(balance.Config{
		Self: v.id, Region: v.zone.Region, Zone: v.zone.Name, Seed: w.rand.Uint64(),
		Prices: balance.Prices{ZonePerKB: s.Prices.ZonePerKB, RegionPerKB: s.Prices.RegionPerKB},
		Budget: balance.Budget{Ratio: s.Budget.Ratio, Window: time.Duration(s.Budget.Window), Slack: s.Budget.Slack},
	})
	v.balance.SetVMs(len(w.vms))
	changes := make([]registry.Change, len(w.servers))
	for i, srv := range w.servers {
		changes[i] = registry.Change{ID: srv.entry.ID, Entry: &registry.Entry{Server: srv.entry, Slots: s.Slots, Seq: 1}}
	}
	v.balance.Apply(w.at(v), changes)
	life := v.life
	var step func()
	step = func() {
		if v.life != life || !v.up {
			return
		}
		v.balance.Tick(w.at(v))
		w.tellZones(v)
		w.flush(v)
		w.after(tick, step)
	}
	w.after(time.Duration(w.rand.Int64N(int64(tick))), step)
}

// at returns the time since the VM's process started.
func (w *world) at(v *vm) fleet.Time { return fleet.Time(w.now.Sub(v.origin)) }

// flush sends the reports that are due.
func (w *world) flush(v *vm) {
	zone, region := v.balance.Reports(w.at(v))
	v.balance.Events()
	for _, o := range w.vms {
		if o == v || o.zone.Region != v.zone.Region {
			continue
		}
		r := region
		if o.zone == v.zone {
			r = zone
		}
		if r != nil {
			w.deliver(v, o, func() { o.balance.StepReport(w.at(o), v.id, *r) })
		}
	}
}

// tellZones sends the zone's digest if this VM is the zone's first.
func (w *world) tellZones(v *vm) {
	now := w.at(v)
	if !v.digests.NearDue(now) || !w.first(v) {
		return
	}
	far := v.digests.FarDue(now)
	v.digests.Near = now
	if far {
		v.digests.Far = now
	}
	d := v.balance.Digest(now)
	for _, o := range w.vms {
		if o.zone != v.zone && (far || o.zone.Region == v.zone.Region) {
			w.deliver(v, o, func() { o.balance.StepDigest(w.at(o), d) })
		}
	}
}

func (w *world) first(v *vm) bool {
	for _, o := range w.vms {
		if o.zone == v.zone && o.up {
			return o == v
		}
	}
	return false
}

// deliver runs step at another VM after the network's delay, if the process there is
// still the same.
func (w *world) deliver(from, to *vm, step func()) {
	life := to.life
	if !to.up {
		return
	}
	w.after(w.delay(from.zone, to.zone), func() {
		if to.up && to.life == life {
			step()
		}
	})
}

func (w *world) delay(a, b *Zone) time.Duration {
	switch {
	case a == b:
		return time.Duration(w.s.Delays.Zone)
	case a.Region == b.Region:
		return time.Duration(w.s.Delays.Region)
	}
	return time.Duration(w.s.Delays.Far)
}

// serve sends a request to the server that the VM chooses.
func (w *world) serve(v *vm, r *request) {
	v.next++
	left := r.deadline.Sub(w.now)
	if left <= 0 {
		return
	}
	d := v.balance.Choose(w.at(v), pool.Work{
		ID: v.next, Service: serviceName, Route: r.route.Name, Deadline: w.at(v).Add(left), Idempotent: r.route.Idempotent,
		Objective: time.Duration(r.route.Objective) - w.now.Sub(r.begun), Priority: r.route.Priority,
		Repeats: max(0, r.route.Attempts-1-r.attempts), Bytes: int(r.route.KB / 2 * 1024), IsRetry: r.attempts > 0, Exclude: r.tried,
	})
	if d.Code != result.OK {
		w.report.Refused++
		return
	}
	s := w.byID[d.Server.ID]
	r.attempts++
	r.tried = append(r.tried, d.Server.ID)
	if r.attempts > 1 {
		w.report.Repeats++
		w.report.repeated = append(w.report.repeated, w.now)
	}
	if d.Trial {
		w.report.Trials++
	}
	a := &attempt{r: r, vm: v, id: v.next, server: s, sent: w.now, limit: r.deadline}
	zone := w.zones[s.entry.Zone]
	w.countBytes(v.zone, zone, r.route)
	w.flush(v)
	life := v.life
	w.after(w.delay(v.zone, zone), func() { w.arrive(a) })
	w.after(left, func() {
		if v.up && v.life == life {
			w.end(a, pool.EndTimeout)
		}
	})
}

// answer brings the outcome back to the VM.
func (w *world) answer(a *attempt, state pool.EndState) {
	life := a.vm.life
	w.after(w.delay(w.zones[a.server.entry.Zone], a.vm.zone), func() {
		if a.vm.up && a.vm.life == life {
			w.end(a, state)
		}
	})
}

// end takes the outcome at the VM: the request is served, repeated or unserved.
func (w *world) end(a *attempt, state pool.EndState) {
	if a.ended {
		return
	}
	a.ended = true
	v, r := a.vm, a.r
	v.balance.End(w.at(v), a.id, pool.End{State: state, Duration: w.now.Sub(a.sent), Bytes: int(r.route.KB / 2 * 1024), Sent: true})
	w.flush(v)
	mayRepeat := r.route.Idempotent || state == pool.EndShed
	switch {
	case state == pool.EndOK:
		w.served(r)
	case mayRepeat && r.attempts < r.route.Attempts && r.deadline > w.now && v.balance.MayRetry(w.at(v), serviceName):
		w.serve(v, r)
	}
}

func vmID(zone fleet.Zone, n int) fleet.VMID { return fleet.VMID(fmt.Sprintf("%s-%03d", zone, n)) }
