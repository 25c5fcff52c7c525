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

// DigestTimes holds the times at which a VM last sent its zone's digests; 0 for never.
type DigestTimes struct {
	Near, Far fleet.Time
}

// NearDue reports whether a digest to the region's other zones is due.
func (d DigestTimes) NearDue(now fleet.Time) bool {
	return d.Near == 0 || now.Sub(d.Near) >= regionDigestInterval
}

// FarDue reports whether a digest to other regions is due. Other regions send no requests
// to a zone without a recent digest, so the first digests follow soon after the start.
func (d DigestTimes) FarDue(now fleet.Time) bool {
	interval := remoteDigestInterval
	if time.Duration(now) < startupPeriod {
		interval = startupDigestInterval
	}
	return d.Far == 0 || now.Sub(d.Far) >= interval
}
