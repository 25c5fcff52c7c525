package mesh

import (
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// liveMembers holds the live members of the region in the order of their ranks. It is computed again
// when a member becomes live or silent or changes, not for each message.
type liveMembers struct {
	validUntil             fleet.Time // no live member becomes silent before
	zone, region           []*member  // of this VM's zone, and of the region's other zones
	zoneAddrs, regionAddrs []string
}

// liveMembers returns the live members, and records the loss of those that became silent.
func (m *Members) liveMembers(now fleet.Time) *liveMembers {
	if m.live != nil && now <= m.live.validUntil {
		return m.live
	}
	l := &liveMembers{validUntil: now.Add(silenceTimeout)}
	for _, vm := range m.members {
		switch {
		case vm.Region != m.self.Region:
		case !vm.isLive(now):
			if vm.lastHeard != 0 && !vm.lossReported {
				vm.lossReported = true
				m.event("peer_lost", vm.ID)
			}
		case vm.Zone == m.self.Zone:
			l.add(&l.zone, vm)
		default:
			l.add(&l.region, vm)
		}
	}
	l.zoneAddrs, l.regionAddrs = sortByRank(l.zone), sortByRank(l.region)
	m.live = l
	return l
}

func (l *liveMembers) add(group *[]*member, vm *member) {
	*group = append(*group, vm)
	l.validUntil = min(l.validUntil, vm.lastHeard.Add(silenceTimeout))
}

// sortByRank sorts members by rank and returns their addresses.
func sortByRank(group []*member) []string {
	slices.SortFunc(group, func(a, b *member) int { return compareRank(a.Member, b.Member) })
	addrs := make([]string, len(group))
	for i, vm := range group {
		addrs[i] = vm.Addr
	}
	return addrs
}
