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

// count adds messages and their encoded bytes to the counters. The direction is "in" or "out".
func (m *linkMetrics) count(direction string, region fleet.Region, messages, bytes int) {
	key := trafficKey{direction, region}
	m.mu.RLock()
	t, ok := m.traffic[key]
	m.mu.RUnlock()
	if !ok {
		t = trafficCounters{
			m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_messages_total{direction=%q,region=%q}`, direction, region)),
			m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_bytes_total{direction=%q,region=%q}`, direction, region)),
		}
		m.mu.Lock()
		m.traffic[key] = t
		m.mu.Unlock()
	}
	t.messages.Add(messages)
	t.bytes.Add(bytes)
}

// dropped returns the counter of messages that were not sent and of connections that were not accepted.
func (m *linkMetrics) dropped(reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_dropped_total{reason=%q}`, reason))
}

// refused returns the counter of hellos that this VM refused.
func (m *linkMetrics) refused(reason Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_refused_total{reason=%q}`, reason))
}

// refusedByPeer returns the counter of this VM's hellos that a peer refused.
func (m *linkMetrics) refusedByPeer(reason Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_link_refused_by_peer_total{reason=%q}`, reason))
}
