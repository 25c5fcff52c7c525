package quota

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

const (
	// zoneRetention is how long a zone that is not heard keeps its part of the quotas. Regions lose each other for
	// minutes; a zone that is gone for longer is taken for removed.
	zoneRetention = 10 * time.Minute
	// fleetSizeTime is how long after its start a VM relies on the size of the fleet that others tell it. Later it has
	// heard of all zones, and that size, which never decreases, would keep room for VMs that were removed.
	fleetSizeTime = time.Minute
	// aloneTime is how long after its start a VM that has heard no other admits nothing. It may be cut off from a fleet
	// of any size. Later the others are more likely to have ended, and it acts as one of a VM in each zone.
	aloneTime = 10 * time.Second
	// minLoggedChange is the change of the share from which it is logged.
	minLoggedChange = 0.1
)

// Members says which VMs the membership knows.
type Members struct {
	Known     int  // VMs of this zone, this one included; silent ones count until they are forgotten
	FleetSize int  // VMs of the fleet, by what others say
	Alone     bool // there are other VMs, and this VM has not heard any since its start
	Zones     int  // zones of the fleet
}

// zone is another zone of the fleet.
type zone struct {
	source
	known, live int
}

// SetMembers tells which VMs the membership knows.
func (l *Limiter) SetMembers(now fleet.Time, m Members) {
	l.members = m
	l.updateShare(now)
}

// updateShare determines the part of each quota that belongs to the VMs that this VM hears. The others may be cut off
// and use their part.
func (l *Limiter) updateShare(now fleet.Time) {
	known, live := max(l.members.Known, l.liveVMs(now)), l.liveVMs(now)
	for _, z := range l.zones {
		known += z.known
		if !z.lost(now) {
			live += z.live
		}
	}
	if time.Duration(now) < fleetSizeTime {
		known = max(known, l.members.FleetSize)
	}
	share := min(1, float64(live)/float64(known))
	if l.members.Alone {
		share = 0
		if time.Duration(now) > aloneTime {
			share = 1 / float64(max(l.members.Zones, 1))
		}
	}
	if share == l.share {
		return
	}
	for _, a := range l.accounts {
		l.fill(now, a)
	}
	old := l.share
	l.share = share
	for _, a := range l.accounts {
		if l.learning(now) {
			a.level += (share - old) * l.startBurst(a.quota) // the other VMs are found one after the other
		}
		a.level = min(a.level, l.capacity(a))
	}
	if math.Abs(share-l.loggedShare) >= minLoggedChange || share == 1 && old < 1 {
		l.loggedShare = share
		l.events = append(l.events, fleet.Event{Kind: "quota_share", Reason: strconv.Itoa(live) + " of " + strconv.Itoa(known) + " VMs heard"})
	}
}

// liveVMs returns the number of VMs of this zone that are heard, this one included.
func (l *Limiter) liveVMs(now fleet.Time) int {
	n := 1
	for _, s := range l.sources {
		if !s.lost(now) {
			n++
		}
	}
	return n
}

// forgetSources removes the VMs and zones that count as gone.
func (l *Limiter) forgetSources(now fleet.Time) {
	for vm, s := range l.sources {
		if s.lost(now) {
			delete(l.sources, vm)
		}
	}
	for name, z := range l.zones {
		if now.Sub(z.heard) > zoneRetention {
			delete(l.zones, name)
		}
	}
}
