package gateway

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

// digestTimes holds when this VM sent its zone's last digests; 0 for none.
type digestTimes struct {
	near, far fleet.Time
}

func (d digestTimes) nearDue(now fleet.Time) bool {
	return d.near == 0 || now.Sub(d.near) >= digestNear
}

// farDue reports whether other regions get a digest. They send nothing to a zone that
// they have not heard of, so the first digests come soon after the start.
func (d digestTimes) farDue(now fleet.Time) bool {
	interval := digestFar
	if time.Duration(now) < settleTime {
		interval = digestSettle
	}
	return d.far == 0 || now.Sub(d.far) >= interval
}
