package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// A digest says what a region believes of its servers. VMs that have just started and
// VMs of other regions take it over for servers that they know nothing of.

// digestFresh is how long an outcome of a VM's own region outweighs a digest.
const digestFresh = time.Second

// digestLeast is the difference from the usual belief from which a server is told.
const digestLeast = 0.05

// Belief is what a region believes of one server.
type Belief struct {
	Server fleet.ServerID `msgpack:"s"`
	Risk   float32        `msgpack:"r"` // probability that the server is failing
	Load   int            `msgpack:"l,omitempty"`
}

// Digest returns the beliefs of the region's servers that differ from the usual one.
func (b *Balancer) Digest(now fleet.Time) []Belief {
	var out []Belief
	for id, s := range b.servers {
		risk := s.health.now(now)
		if s.distance == otherRegion || risk < usual+digestLeast && risk > usual-digestLeast {
			continue
		}
		out = append(out, Belief{id, float32(risk), s.load()})
	}
	slices.SortFunc(out, func(x, y Belief) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// StepDigest takes a digest over for the servers that this VM's region has seen
// nothing of lately.
func (b *Balancer) StepDigest(now fleet.Time, digest []Belief) {
	for _, d := range digest {
		s := b.servers[d.Server]
		if s == nil || s.seen != 0 && now.Sub(s.seen) < digestFresh || !(d.Risk >= 0 && d.Risk <= 1) {
			continue
		}
		s.health = belief{min(max(float64(d.Risk), minBelief), maxBelief), now}
		if s.distance == otherRegion {
			s.elsewhere = max(0, d.Load)
		}
	}
}
