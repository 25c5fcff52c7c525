package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// A digest summarises a zone's estimates of its servers. VMs that have just started and
// VMs of other zones adopt it for servers that they have no recent outcome of.

const (
	// ownOutcomeTTL is how long an outcome known to this VM takes precedence over a digest.
	ownOutcomeTTL = time.Second
	// failureRatioTTL is how long another zone's failure ratio is valid.
	failureRatioTTL = 3 * time.Second
	// remoteDigestTTL is how long a digest of another region is valid for its zones' utilization.
	remoteDigestTTL = 5 * time.Second
	// busyZoneUtilization is the utilization above which a zone has no capacity for other regions.
	busyZoneUtilization = 0.6
	// digestMinDeviation is how far an idle server's risk must differ from baselineRisk for
	// the server to be in the digest.
	digestMinDeviation = 0.03
)

// Digest summarises the state of one zone's servers and services.
type Digest struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Zone     fleet.Zone
	Servers  []ServerEstimate
	Services []ServiceStats
}

// ServerEstimate is a zone's estimate of one of its servers.
type ServerEstimate struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server fleet.ServerID
	Risk   float32 // probability that the server is failing
	Load   int     // requests in flight at the server
	Limit  float32 // rate limit that the server names, in requests per second; 0 if it names none, or if none is known

	Unlimited  bool  // a response shows that the server names no limit
	LimitAgeMS int64 // milliseconds from the response that shows Limit or Unlimited to the digest
}

// ServiceStats counts a service's recent requests and failures in one zone. Older outcomes weigh
// less.
type ServiceStats struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service     fleet.Service
	Failed      float32
	Requests    float32
	Utilization float32 // requests in flight over the slots of the zone's healthy servers
}

// maxReportedRequests bounds the weight of one zone's outcomes.
const maxReportedRequests = 1 << 24

// valid reports whether the numbers are possible; comparisons with NaN are false.
func (s ServiceStats) valid() bool {
	return s.Failed >= 0 && s.Failed <= s.Requests && s.Requests <= maxReportedRequests && s.Utilization >= 0
}

// zoneStats is a ServiceStats received from another zone.
type zoneStats struct {
	ServiceStats
	received fleet.Time
}

// Digest returns this VM's digest of its zone.
func (b *Balancer) Digest(now fleet.Time) Digest {
	d := Digest{Zone: b.cfg.Zone}
	for id, s := range b.servers {
		risk := s.health.riskAt(now)
		limit := &s.notices.limit
		if s.distance != inZone || !limit.isNews(now) && s.load() == 0 && risk < baselineRisk+digestMinDeviation && risk > baselineRisk-digestMinDeviation {
			continue
		}
		e := ServerEstimate{Server: id, Risk: float32(risk), Load: s.load()}
		limit.estimate(now, &e)
		d.Servers = append(d.Servers, e)
	}
	slices.SortFunc(d.Servers, func(x, y ServerEstimate) int { return cmp.Compare(x.Server, y.Server) })
	for name, svc := range b.services {
		if svc.failures.decay(now); svc.failures.all > digestMinDeviation {
			d.Services = append(d.Services, ServiceStats{
				Service: name, Failed: float32(svc.failures.failed), Requests: float32(svc.failures.all), Utilization: float32(svc.utilization(now)),
			})
		}
	}
	slices.SortFunc(d.Services, func(x, y ServiceStats) int { return cmp.Compare(x.Service, y.Service) })
	return d
}

// ApplyDigest applies a digest received from another VM.
func (b *Balancer) ApplyDigest(now fleet.Time, d Digest) {
	for _, e := range d.Servers {
		s := b.servers[e.Server]
		if s == nil || !(e.Risk >= 0 && e.Risk <= 1) || e.Load < 0 || e.Load > maxReportedLoad {
			continue
		}
		if s.distance != inZone {
			s.digestLoad, s.digestLoadUpdated = max(0, e.Load-s.local), now
		}
		s.notices.limit.applyEstimate(now, e)
		if s.lastOutcome == 0 || now.Sub(s.lastOutcome) >= ownOutcomeTTL {
			s.health = healthEstimate{min(max(float64(e.Risk), minRisk), maxRisk), now}
		}
	}
	if d.Zone == b.cfg.Zone {
		return
	}
	for _, e := range d.Services {
		if !e.valid() {
			continue
		}
		svc := b.service(e.Service)
		if svc.zoneStats == nil {
			svc.zoneStats = make(map[fleet.Zone]zoneStats)
		}
		svc.zoneStats[d.Zone] = zoneStats{e, now}
	}
}

// HealthCounts returns the numbers of healthy servers and of suspects.
func (b *Balancer) HealthCounts(now fleet.Time) (healthy, suspects int) {
	for _, s := range b.servers {
		if s.health.riskAt(now) < suspectThreshold {
			healthy++
		} else {
			suspects++
		}
	}
	return healthy, suspects
}

// utilization returns the requests in flight at the zone's servers without a rate limit over the
// slots of the healthy ones.
func (s *service) utilization(now fleet.Time) float64 {
	load, slots := 0, 0
	for _, srv := range s.servers {
		if srv.distance != inZone || srv.entry.Server.State != fleet.StateLive {
			continue
		}
		if srv.notices.limit.named {
			continue // other regions do not use it
		}
		load += srv.load()
		if srv.health.riskAt(now) < suspectThreshold {
			slots += srv.entry.Slots
		}
	}
	return float64(load) / float64(max(slots, 1))
}

// zoneUnavailable reports whether a zone is too busy to take requests of other regions, or
// sent no recent digest.
func (s *service) zoneUnavailable(now fleet.Time, zone fleet.Zone) bool {
	z, ok := s.zoneStats[zone]
	return !ok || now.Sub(z.received) > remoteDigestTTL || z.Utilization > busyZoneUtilization
}

// failureRatio returns the share of a service's requests that fail, over all zones with a
// recent digest; 0 while there are too few outcomes.
func (s *service) failureRatio(now fleet.Time) float64 {
	s.failures.decay(now)
	failed, all := s.failures.failed, s.failures.all
	for _, z := range s.zoneStats {
		if now.Sub(z.received) <= failureRatioTTL {
			failed += float64(z.Failed)
			all += float64(z.Requests)
		}
	}
	if all < minOutcomeWeight || failed < minFailureWeight {
		return 0
	}
	return failed / all
}
