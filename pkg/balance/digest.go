package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// A digest says what a zone believes of its servers. VMs that have just started and
// VMs of other zones take it over for servers that they have seen nothing of lately.

const (
	// digestFresh is how long an outcome that this VM saw outweighs a digest.
	digestFresh = time.Second
	// ratioFresh is how long another zone's share of failures counts.
	ratioFresh = 3 * time.Second
	// farFresh is how long another region's digest says whether its zones have room.
	farFresh = 5 * time.Second
	// farBusy is the part of a zone's slots from which it has no room for other regions.
	farBusy = 0.6
	// digestLeast is the difference from the usual belief from which a server is told.
	digestLeast = 0.03
)

// Digest is what the VMs of one zone know of its servers and of services.
type Digest struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Zone     fleet.Zone
	Beliefs  []Belief
	Services []Share
}

// Belief is what a zone believes of one of its servers.
type Belief struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server fleet.ServerID
	Risk   float32 // probability that the server is failing
	Load   int     // requests at the server
}

// Share is how many of a service's requests failed lately, as one zone saw it. Older
// outcomes count less.
type Share struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service fleet.Service
	Failed  float32
	All     float32
	Busy    float32 // requests over the slots of the zone's servers that are believed healthy
}

// share is a Share of another zone.
type share struct {
	Share
	heard fleet.Time
}

// Digest returns what this VM knows of its zone.
func (b *Balancer) Digest(now fleet.Time) Digest {
	d := Digest{Zone: b.cfg.Zone}
	for id, s := range b.servers {
		risk := s.health.now(now)
		if s.distance != inZone || s.load() == 0 && risk < usual+digestLeast && risk > usual-digestLeast {
			continue
		}
		d.Beliefs = append(d.Beliefs, Belief{Server: id, Risk: float32(risk), Load: s.load()})
	}
	slices.SortFunc(d.Beliefs, func(x, y Belief) int { return cmp.Compare(x.Server, y.Server) })
	for name, svc := range b.services {
		if svc.failures.decay(now); svc.failures.all > digestLeast {
			d.Services = append(d.Services, Share{
				Service: name, Failed: float32(svc.failures.failed), All: float32(svc.failures.all), Busy: float32(svc.busy(now)),
			})
		}
	}
	slices.SortFunc(d.Services, func(x, y Share) int { return cmp.Compare(x.Service, y.Service) })
	return d
}

// StepDigest takes over what another VM knows of its zone.
func (b *Balancer) StepDigest(now fleet.Time, d Digest) {
	for _, e := range d.Beliefs {
		s := b.servers[e.Server]
		if s == nil || !(e.Risk >= 0 && e.Risk <= 1) {
			continue
		}
		if s.distance != inZone {
			s.elsewhere, s.elsewhereAt = max(0, e.Load-s.local), now
		}
		if s.seen == 0 || now.Sub(s.seen) >= digestFresh {
			s.health = belief{min(max(float64(e.Risk), minBelief), maxBelief), now}
		}
	}
	if d.Zone == b.cfg.Zone {
		return
	}
	for _, e := range d.Services {
		svc := b.service(e.Service)
		if svc.zones == nil {
			svc.zones = make(map[fleet.Zone]share)
		}
		svc.zones[d.Zone] = share{e, now}
	}
}

// Counts returns how many servers are believed healthy and how many are suspects.
func (b *Balancer) Counts(now fleet.Time) (healthy, suspects int) {
	for _, s := range b.servers {
		if s.health.now(now) < suspectFrom {
			healthy++
		} else {
			suspects++
		}
	}
	return healthy, suspects
}

// busy returns the requests at the zone's servers over the slots of those that are
// believed healthy.
func (s *service) busy(now fleet.Time) float64 {
	load, slots := 0, 0
	for _, v := range s.servers {
		if v.distance != inZone || v.entry.Server.State != fleet.StateLive {
			continue
		}
		load += v.load()
		if v.health.now(now) < suspectFrom {
			slots += v.entry.Slots
		}
	}
	return float64(load) / float64(max(slots, 1))
}

// full reports whether a zone is too busy to take requests of other regions, or is
// not heard.
func (s *service) full(now fleet.Time, zone fleet.Zone) bool {
	z, ok := s.zones[zone]
	return !ok || now.Sub(z.heard) > farFresh || z.Busy > farBusy
}

// failing returns the share of a service's requests that fail, over all zones that
// were heard lately; 0 while there are few outcomes.
func (s *service) failing(now fleet.Time) float64 {
	s.failures.decay(now)
	failed, all := s.failures.failed, s.failures.all
	for _, z := range s.zones {
		if now.Sub(z.heard) <= ratioFresh {
			failed += float64(z.Failed)
			all += float64(z.All)
		}
	}
	if all < minOutcomes || failed < minFailures {
		return 0
	}
	return failed / all
}
