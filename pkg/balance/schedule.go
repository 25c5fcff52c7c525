package balance

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Pauses between two digests.
const (
	digestNear   = 250 * time.Millisecond // to the region's other zones
	digestFar    = 2 * time.Second        // to other regions
	digestSettle = 500 * time.Millisecond // to other regions, by a VM that has just started
	settleTime   = 5 * time.Second        // how long a VM counts as just started
)

// DigestTimes holds when a VM sent its zone's last digests; 0 for none.
type DigestTimes struct {
	Near, Far fleet.Time
}

// NearDue reports whether the region's other zones get a digest.
func (d DigestTimes) NearDue(now fleet.Time) bool {
	return d.Near == 0 || now.Sub(d.Near) >= digestNear
}

// FarDue reports whether other regions get a digest. They send nothing to a zone that
// they have not heard of, so the first digests come soon after the start.
func (d DigestTimes) FarDue(now fleet.Time) bool {
	interval := digestFar
	if time.Duration(now) < settleTime {
		interval = digestSettle
	}
	return d.Far == 0 || now.Sub(d.Far) >= interval
}
