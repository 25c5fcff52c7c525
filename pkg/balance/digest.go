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
	Beliefs  []Belief
	Services []Share
}

// Belief is a zone's estimate of one of its servers.
type Belief struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server fleet.ServerID
	Risk   float32 // probability that the server is failing
	Load   int     // requests in flight at the server
}

// Share counts a service's recent requests and failures in one zone. Older outcomes weigh
// less.
type Share struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service fleet.Service
	Failed  float32
	All     float32
	Busy    float32 // requests in flight over the slots of the zone's healthy servers
}

// zoneShare is a Share received from another zone.
type zoneShare struct {
	Share
	received fleet.Time
}

// Digest returns this VM's digest of its zone.
func (b *Balancer) Digest(now fleet.Time) Digest {
	d := Digest{Zone: b.cfg.Zone}
	for id, s := range b.servers {
		risk := s.health.riskAt(now)
		if s.distance != inZone || s.load() == 0 && risk < baselineRisk+digestMinDeviation && risk > baselineRisk-digestMinDeviation {
			continue
		}
		d.Beliefs = append(d.Beliefs, Belief{Server: id, Risk: float32(risk), Load: s.load()})
	}
	slices.SortFunc(d.Beliefs, func(x, y Belief) int { return cmp.Compare(x.Server, y.Server) })
	for name, svc := range b.services {
		if svc.failures.decay(now); svc.failures.all > digestMinDeviation {
			d.Services = append(d.Services, Share{
				Service: name, Failed: float32(svc.failures.failed), All: float32(svc.failures.all), Busy: float32(svc.utilization(now)),
			})
		}
	}
	slices.SortFunc(d.Services, func(x, y Share) int { return cmp.Compare(x.Service, y.Service) })
	return d
}

// StepDigest applies a digest received from another VM.
func (b *Balancer) StepDigest(now fleet.Time, d Digest) {
	for _, e := range d.Beliefs {
		s := b.servers[e.Server]
		if s == nil || !(e.Risk >= 0 && e.Risk <= 1) {
			continue
		}
		if s.distance != inZone {
			s.digestLoad, s.digestLoadUpdated = max(0, e.Load-s.local), now
		}
		if s.lastOutcome == 0 || now.Sub(s.lastOutcome) >= ownOutcomeTTL {
			s.health = healthEstimate{min(max(float64(e.Risk), minRisk), maxRisk), now}
		}
	}
	if d.Zone == b.cfg.Zone {
		return
	}
	for _, e := range d.Services {
		svc := b.service(e.Service)
		if svc.zoneShares == nil {
			svc.zoneShares = make(map[fleet.Zone]zoneShare)
		}
		svc.zoneShares[d.Zone] = zoneShare{e, now}
	}
}

// Counts returns the numbers of healthy servers and of suspects.
func (b *Balancer) Counts(now fleet.Time) (healthy, suspects int) {
	for _, s := range b.servers {
		if s.health.riskAt(now) < suspectThreshold {
			healthy++
		} else {
			suspects++
		}
	}
	return healthy, suspects
}

// utilization returns the requests in flight at the zone's servers over the slots of the
// healthy ones.
func (s *service) utilization(now fleet.Time) float64 {
	load, slots := 0, 0
	for _, v := range s.servers {
		if v.distance != inZone || v.entry.Server.State != fleet.StateLive {
			continue
		}
		load += v.load()
		if v.health.riskAt(now) < suspectThreshold {
			slots += v.entry.Slots
		}
	}
	return float64(load) / float64(max(slots, 1))
}

// zoneUnavailable reports whether a zone is too busy to take requests of other regions, or
// sent no recent digest.
func (s *service) zoneUnavailable(now fleet.Time, zone fleet.Zone) bool {
	z, ok := s.zoneShares[zone]
	return !ok || now.Sub(z.received) > remoteDigestTTL || z.Busy > busyZoneUtilization
}

// failureRatio returns the share of a service's requests that fail, over all zones with a
// recent digest; 0 while there are too few outcomes.
func (s *service) failureRatio(now fleet.Time) float64 {
	s.failures.decay(now)
	failed, all := s.failures.failed, s.failures.all
	for _, z := range s.zoneShares {
		if now.Sub(z.received) <= failureRatioTTL {
			failed += float64(z.Failed)
			all += float64(z.All)
		}
	}
	if all < minOutcomeWeight || failed < minFailureWeight {
		return 0
	}
	return failed / all
}
