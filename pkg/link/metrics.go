package link

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// linkMetrics holds the metrics of the links. Direction and region are labels, since
// traffic between regions is billed by volume.
type linkMetrics struct {
	set        *metrics.Set
	reconnects *metrics.Counter

	mu      sync.RWMutex
	traffic map[trafficKey]trafficCounters
}

type trafficKey struct {
	direction string
	region    fleet.Region
}

type trafficCounters struct{ messages, bytes *metrics.Counter }

func newLinkMetrics(set *metrics.Set) *linkMetrics {
	return &linkMetrics{
		set:        set,
		reconnects: set.GetOrCreateCounter("fulmarbeam_link_reconnects_total"),
		traffic:    map[trafficKey]trafficCounters{},
	}
}

func (c *linkMetrics) count(direction string, region fleet.Region, messages, bytes int) {
	key := trafficKey{direction, region}
	c.mu.RLock()
	t, ok := c.traffic[key]
	c.mu.RUnlock()
	if !ok {
		t = trafficCounters{
			c.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_messages_total{direction=%q,region=%q}`, direction, region)),
			c.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_bytes_total{direction=%q,region=%q}`, direction, region)),
		}
		c.mu.Lock()
		c.traffic[key] = t
		c.mu.Unlock()
	}
	t.messages.Add(messages)
	t.bytes.Add(bytes)
}

func (c *linkMetrics) dropped(reason string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_dropped_total{reason=%q}`, reason))
}

func (c *linkMetrics) refused(reason Reason) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_refused_total{reason=%q}`, reason))
}

func (c *linkMetrics) refusedBy(reason Reason) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_refused_by_peer_total{reason=%q}`, reason))
}
