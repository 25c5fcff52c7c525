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

// vm models an entry VM: its balancer, and the gateway's use of it.
type vm struct {
	id           fleet.VMID
	zone         *Zone
	balance      *balance.Balancer
	digestTimes  balance.DigestSchedule
	startedAt    fleet.Time // start of the current process
	up           bool
	lastWorkID   pool.WorkID
	processCount int // processes started on this VM so far; identifies the current one
}

// request is a request from a caller.
type request struct {
	route     *Route
	startedAt fleet.Time
	deadline  fleet.Time
	attempts  int
	tried     []fleet.ServerID
}

// tickInterval is the time between ticks of a VM's balancer.
const tickInterval = 10 * time.Millisecond

// start starts a process on the VM. Its balancer has all servers but no history.
func (sim *simulation) start(v *vm) {
	v.processCount++
	v.up, v.startedAt, v.digestTimes, v.lastWorkID = true, sim.now, balance.DigestSchedule{}, 0
	s := sim.scenario
	v.balance = balance.New(balance.Config{
		Self: v.id, Region: v.zone.Region, Zone: v.zone.Name, Seed: sim.rand.Uint64(),
		Prices: balance.Prices{CrossZonePerKB: s.Prices.ZonePerKB, CrossRegionPerKB: s.Prices.RegionPerKB},
		Budget: balance.RetryBudget{Ratio: s.Budget.Ratio, Window: time.Duration(s.Budget.Window), Slack: s.Budget.Slack},
	})
	v.balance.SetVMs(len(sim.vms))
	changes := make([]registry.Change, len(sim.servers))
	for i, srv := range sim.servers {
		changes[i] = registry.Change{ID: srv.entry.ID, Entry: &registry.Entry{Server: srv.entry, Slots: s.Slots, Seq: 1}}
	}
	v.balance.Apply(sim.processTime(v), changes)
	process := v.processCount
	var step func()
	step = func() {
		if v.processCount != process || !v.up {
			return
		}
		v.balance.Tick(sim.processTime(v))
		sim.sendDigests(v)
		sim.sendReports(v)
		sim.schedule(tickInterval, step)
	}
	sim.schedule(time.Duration(sim.rand.Int64N(int64(tickInterval))), step)
}

// processTime returns the time since the VM's process started.
func (sim *simulation) processTime(v *vm) fleet.Time { return fleet.Time(sim.now.Sub(v.startedAt)) }

// sendReports sends due reports to the VMs of the region.
func (sim *simulation) sendReports(v *vm) {
	zone, region := v.balance.Reports(sim.processTime(v))
	v.balance.Events()
	for _, o := range sim.vms {
		if o == v || o.zone.Region != v.zone.Region {
			continue
		}
		r := region
		if o.zone == v.zone {
			r = zone
		}
		if r != nil {
			sim.deliver(v, o, func() { o.balance.ApplyReport(sim.processTime(o), v.id, *r) })
		}
	}
}

// sendDigests sends the zone's digest, if it is due, from the first running VM of the zone.
func (sim *simulation) sendDigests(v *vm) {
	now := sim.processTime(v)
	if !v.digestTimes.RegionDue(now) || !sim.isFirstInZone(v) {
		return
	}
	toOtherRegions := v.digestTimes.OtherRegionsDue(now)
	v.digestTimes.RegionSent = now
	if toOtherRegions {
		v.digestTimes.OtherRegionsSent = now
	}
	d := v.balance.Digest(now)
	for _, o := range sim.vms {
		if o.zone != v.zone && (toOtherRegions || o.zone.Region == v.zone.Region) {
			sim.deliver(v, o, func() { o.balance.ApplyDigest(sim.processTime(o), d) })
		}
	}
}

func (sim *simulation) isFirstInZone(v *vm) bool {
	for _, o := range sim.vms {
		if o.zone == v.zone && o.up {
			return o == v
		}
	}
	return false
}

// deliver runs step at another VM after the network delay, unless that VM has stopped
// or restarted meanwhile.
func (sim *simulation) deliver(from, to *vm, step func()) {
	process := to.processCount
	if !to.up {
		return
	}
	sim.schedule(sim.delay(from.zone, to.zone), func() {
		if to.up && to.processCount == process {
			step()
		}
	})
}

func (sim *simulation) delay(a, b *Zone) time.Duration {
	switch {
	case a == b:
		return time.Duration(sim.scenario.Delays.Zone)
	case a.Region == b.Region:
		return time.Duration(sim.scenario.Delays.Region)
	}
	return time.Duration(sim.scenario.Delays.BetweenRegions)
}

// sendAttempt sends a request to the server that the VM's balancer chooses.
func (sim *simulation) sendAttempt(v *vm, r *request) {
	v.lastWorkID++
	left := r.deadline.Sub(sim.now)
	if left <= 0 {
		return
	}
	d := v.balance.Choose(sim.processTime(v), pool.Work{
		ID: v.lastWorkID, Service: serviceName, Route: r.route.Name, Deadline: sim.processTime(v).Add(left), Idempotent: r.route.Idempotent,
		LatencyObjective: time.Duration(r.route.LatencyObjective) - sim.now.Sub(r.startedAt), Priority: r.route.Priority,
		MaxRetries: max(0, r.route.Attempts-1-r.attempts), Bytes: int(r.route.KB / 2 * 1024), IsRetry: r.attempts > 0, Exclude: r.tried,
	})
	if d.Code != result.OK {
		sim.report.Refused++
		return
	}
	if d.Delay > 0 {
		process := v.processCount
		sim.schedule(d.Delay, func() {
			if v.up && v.processCount == process {
				sim.dispatch(v, r, d, r.deadline.Sub(sim.now))
			}
		})
		return
	}
	sim.dispatch(v, r, d, left)
}

// dispatch sends a request to the server that was chosen for it.
func (sim *simulation) dispatch(v *vm, r *request, d pool.Decision, left time.Duration) {
	s := sim.byID[d.Server.ID]
	r.attempts++
	r.tried = append(r.tried, d.Server.ID)
	if r.attempts > 1 {
		sim.report.Retries++
		sim.report.retryTimes = append(sim.report.retryTimes, sim.now)
	}
	if d.Trial {
		sim.report.Trials++
	}
	a := &attempt{request: r, vm: v, id: d.Work, server: s, sent: sim.now, stopAt: r.deadline}
	zone := sim.zones[s.entry.Zone]
	sim.countBytes(v.zone, zone, r.route)
	sim.sendReports(v)
	process := v.processCount
	sim.schedule(sim.delay(v.zone, zone), func() { sim.arrive(a) })
	sim.schedule(left, func() {
		if v.up && v.processCount == process {
			sim.endAttempt(a, pool.EndTimeout, nil)
		}
	})
}

// returnOutcome reports the outcome to the VM after the network delay.
func (sim *simulation) returnOutcome(a *attempt, state pool.EndState) {
	process := a.vm.processCount
	notice := a.server.notice(sim.now)
	sim.schedule(sim.delay(sim.zones[a.server.entry.Zone], a.vm.zone), func() {
		if a.vm.up && a.vm.processCount == process {
			sim.endAttempt(a, state, &notice)
		}
	})
}

// endAttempt records the outcome at the VM and retries the request if that is allowed. Without a response,
// notice is nil.
func (sim *simulation) endAttempt(a *attempt, state pool.EndState, notice *pool.ServerNotice) {
	if a.ended {
		return
	}
	a.ended = true
	v, r := a.vm, a.request
	end := pool.End{State: state, Duration: sim.now.Sub(a.sent), Bytes: int(r.route.KB / 2 * 1024), RequestSent: true}
	if notice != nil {
		end.RespondedAt, end.Notice = sim.processTime(v), *notice
		v.balance.HandleNotice(end.RespondedAt, a.id, *notice)
	}
	v.balance.End(sim.processTime(v), a.id, end)
	sim.sendReports(v)
	mayRetry := r.route.Idempotent || state == pool.EndShed
	switch {
	case state == pool.EndOK:
		sim.countServed(r)
	case mayRetry && r.attempts < r.route.Attempts && r.deadline > sim.now && v.balance.MayRetry(sim.processTime(v), serviceName):
		sim.sendAttempt(v, r)
	}
}

func vmID(zone fleet.Zone, n int) fleet.VMID { return fleet.VMID(fmt.Sprintf("%s-%03d", zone, n)) }
