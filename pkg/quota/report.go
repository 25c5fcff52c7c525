package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// A VM reports its use to the VMs of its zone with each of its ordinary reports. One VM of each zone reports the
// zone's use to the other zones: soon for workspaces near their quota, rarely for others.

const (
	urgentInterval    = 100 * time.Millisecond // between two reports of a zone, if a workspace is near its quota
	ordinaryInterval  = time.Second            // between two reports of a workspace that is not
	keepAliveInterval = 300 * time.Millisecond // between two reports of a zone
	// nearQuota is the part of a quota from which a workspace is near it.
	nearQuota = 0.75
	// quietPart is the part of a quota below which a workspace's use is not reported to other zones. All zones
	// together then admit less than that without telling.
	quietPart = 0.4
	// maxReportedUses bounds one report, so that it fits into a datagram.
	maxReportedUses = 256
	// learningTime is the time after the start or a pause in which other VMs know better what an account holds.
	learningTime = time.Second
	// Limits of what is believed of another VM.
	maxReportedRequests = 1 << 22
	maxReportedPeriod   = time.Minute
)

// Use counts a workspace's requests at one VM, or at the VMs of a zone, in a period that ends with the report.
type Use struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Asked     int64
	Admitted  int64 // less those that were returned; negative if more were returned
	PeriodMS  int64
	Level     int64 // of the sender's account; unknownLevel while the sender learns it itself
}

const unknownLevel = math.MaxInt32

func (u Use) valid() bool {
	return u.Asked >= 0 && u.Asked <= maxReportedRequests && max(u.Admitted, -u.Admitted) <= maxReportedRequests &&
		u.PeriodMS > 0 && u.PeriodMS <= maxReportedPeriod.Milliseconds()
}

// ZoneReport tells other zones of one zone's VMs and use.
type ZoneReport struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Zone  fleet.Zone
	Known int // VMs of the zone
	Live  int // of these, the VMs that the reporting one hears
	Uses  []Use
}

// pending counts requests that were not reported yet.
type pending struct {
	asked, admitted int64
	since           fleet.Time // start of the period; 0 if nothing is pending
}

func (p *pending) add(now fleet.Time, n pending) {
	if p.since == 0 {
		p.since = max(now, 1)
	}
	p.asked, p.admitted = p.asked+n.asked, p.admitted+n.admitted
}

// take returns and clears what is pending. The period is at least that of a typical report, as a single request says
// little about the rate.
func (p *pending) take(now fleet.Time, workspace string, level int64, minPeriod time.Duration) Use {
	period := min(max(now.Sub(p.since), minPeriod), maxReportedPeriod)
	u := Use{Workspace: workspace, Asked: p.asked, Admitted: p.admitted, PeriodMS: period.Milliseconds(), Level: level}
	*p = pending{}
	return u
}

// learning reports whether other VMs may know better what an account holds.
func (l *Limiter) learning(now fleet.Time) bool { return now.Sub(l.since) < learningTime }

func (l *Limiter) reportedLevel(now fleet.Time, a *account) int64 {
	if l.learning(now) {
		return unknownLevel
	}
	return int64(math.Floor(a.level))
}

// count records requests of this VM for its reports.
func (a *account) count(now fleet.Time, n pending) {
	a.unreported.add(now, n)
	a.zone.add(now, n)
}

// VMReport returns this VM's use since its last report to the VMs of its zone.
func (l *Limiter) VMReport(now fleet.Time) []Use {
	var uses []Use
	for name, a := range l.accounts {
		l.fill(now, a)
		if a.unreported.since != 0 && len(uses) < maxReportedUses {
			uses = append(uses, a.unreported.take(now, name, l.reportedLevel(now, a), minVMPeriod))
		}
	}
	return sortUses(uses)
}

// minVMPeriod is the least period that a VM reports.
const minVMPeriod = 50 * time.Millisecond

// ApplyVMReport charges the use that a VM of this zone reports. It must also be called for a report without any use.
func (l *Limiter) ApplyVMReport(now fleet.Time, vm fleet.VMID, uses []Use) {
	s := l.sources[string(vm)]
	if s == nil {
		s = &source{timeout: vmTimeout}
		l.sources[string(vm)] = s
	}
	l.apply(now, s, uses, func(a *account, u Use) {
		a.zone.add(now, pending{asked: u.Asked, admitted: u.Admitted})
	})
}

// ApplyZoneReport charges the use that another zone reports.
func (l *Limiter) ApplyZoneReport(now fleet.Time, r ZoneReport) {
	if r.Zone == l.cfg.Zone || r.Known < 0 || r.Known > maxReportedRequests || r.Live < 0 || r.Live > r.Known {
		return
	}
	z := l.zones[r.Zone]
	if z == nil {
		z = &zone{source: source{timeout: zoneTimeout}}
		l.zones[r.Zone] = z
	}
	z.known, z.live = r.Known, r.Live
	l.apply(now, &z.source, r.Uses, func(*account, Use) {})
	l.updateShare(now)
}

func (l *Limiter) apply(now fleet.Time, s *source, uses []Use, applied func(*account, Use)) {
	for _, u := range uses {
		if !u.valid() {
			continue
		}
		a := l.account(now, u.Workspace)
		if a == nil {
			continue
		}
		a.used = now
		l.charge(a, float64(u.Admitted))
		if l.learning(now) {
			l.setLevel(a, min(a.level, float64(u.Level)))
		}
		f := a.peers[s]
		if f == nil {
			f = &flow{at: now}
			a.peers[s] = f
		}
		f.apply(now, u, now.Sub(l.since))
		applied(a, u)
	}
	s.heard = now
}

// ZoneReport returns the use of this zone's VMs for the other zones, or nil if none is due. Each VM calls it, as any
// may have to report for its zone; what a VM does not send is reported by another.
func (l *Limiter) ZoneReport(now fleet.Time) *ZoneReport {
	if now.Sub(l.reported) < urgentInterval {
		return nil
	}
	var uses []Use
	for name, a := range l.accounts {
		if a.zone.since == 0 || len(uses) >= maxReportedUses {
			continue
		}
		l.fill(now, a)
		demand := a.demand(now)
		near := demand > nearQuota*a.quota.Rate || a.level < l.capacity(a)/2
		if !near && now.Sub(a.zone.since) < ordinaryInterval {
			continue
		}
		u := a.zone.take(now, name, l.reportedLevel(now, a), urgentInterval)
		if near || demand > quietPart*a.quota.Rate || u.rate() > quietPart*a.quota.Rate/float64(len(l.zones)+1) {
			uses = append(uses, u)
		}
	}
	if len(uses) == 0 && now.Sub(l.reported) < keepAliveInterval {
		return nil
	}
	l.reported = now
	live := l.liveVMs(now)
	return &ZoneReport{Zone: l.cfg.Zone, Known: max(l.members.Known, live), Live: live, Uses: sortUses(uses)}
}

// rate returns the requests per second that were asked for.
func (u Use) rate() float64 {
	return float64(u.Asked) / (time.Duration(u.PeriodMS) * time.Millisecond).Seconds()
}

func sortUses(uses []Use) []Use {
	slices.SortFunc(uses, func(x, y Use) int { return cmp.Compare(x.Workspace, y.Workspace) })
	return uses
}
