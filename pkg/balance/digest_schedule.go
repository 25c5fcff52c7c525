package balance

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Intervals between two digests.
const (
	regionDigestInterval  = 250 * time.Millisecond // to the region's other zones
	remoteDigestInterval  = 2 * time.Second        // to other regions
	startupDigestInterval = 500 * time.Millisecond // to other regions, by a VM that has just started
	startupPeriod         = 5 * time.Second        // time after the start in which startupDigestInterval applies
)

// DigestSchedule holds the times at which a VM last sent its zone's digests; 0 for never.
type DigestSchedule struct {
	RegionSent, OtherRegionsSent fleet.Time
}

// RegionDue reports whether a digest to the region's other zones is due.
func (d DigestSchedule) RegionDue(now fleet.Time) bool {
	return d.RegionSent == 0 || now.Sub(d.RegionSent) >= regionDigestInterval
}

// OtherRegionsDue reports whether a digest to other regions is due. Other regions send no requests
// to a zone without a recent digest, so the first digests follow soon after the start.
func (d DigestSchedule) OtherRegionsDue(now fleet.Time) bool {
	interval := remoteDigestInterval
	if time.Duration(now) < startupPeriod {
		interval = startupDigestInterval
	}
	return d.OtherRegionsSent == 0 || now.Sub(d.OtherRegionsSent) >= interval
}
