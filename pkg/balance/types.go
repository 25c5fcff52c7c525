// Package balance chooses a backend server for each request by what all VMs of the
// zone and region saw of the servers: outcomes, load and unreachable paths. Each VM
// decides by itself, so that no request waits for another VM.
//
// A server's health is a belief: the probability that it is failing now. Outcomes
// move it by Bayes' rule, and it drifts back to what is usual while nothing is seen,
// since failing servers recover and healthy ones start to fail. The choice weighs
// that risk against load, latency and the price of leaving the zone.
//
// The package is deterministic: it has no clock, socket or goroutine.
package balance

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// Outcome is what an attempt says about the server that served it.
type Outcome uint8

// Outcomes of attempts. Their numbers are part of the protocol between VMs.
const (
	OutcomeOK          Outcome = iota + 1
	OutcomeFailed              // a failure status, or an answer that cannot be trusted
	OutcomeTimeout             // no answer by the deadline
	OutcomeLate                // still no answer long after one was expected
	OutcomeShed                // the server had no room
	OutcomeUnreachable         // no connection
	OutcomeLeaving             // the server said that it is leaving, or another one has its address
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	names := [...]string{"none", "ok", "failed", "timeout", "late", "shed", "unreachable", "leaving"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// outcomeOf translates the end of an attempt; 0 says nothing about the server.
func outcomeOf(e pool.EndState) Outcome {
	switch e {
	case pool.EndOK, pool.EndCallerError:
		return OutcomeOK
	case pool.EndFailed:
		return OutcomeFailed
	case pool.EndTimeout:
		return OutcomeTimeout
	case pool.EndShed:
		return OutcomeShed
	case pool.EndUnreachable:
		return OutcomeUnreachable
	case pool.EndDraining:
		return OutcomeLeaving
	}
	return 0
}

// Observation is an outcome that a VM saw.
type Observation struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server  fleet.ServerID
	Outcome Outcome
	AgeMS   int64   // milliseconds between the outcome and the report
	Final   bool    // the request is not repeated, so its caller gets this outcome
	Pace    float32 // duration over what is usual for the route; 0: unknown
}

// Load is the number of requests that a VM has at a server.
type Load struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server   fleet.ServerID
	InFlight int
}

// Report tells other VMs what this one saw since its last report to them, and its
// whole load.
type Report struct {
	Zone         fleet.Zone    `msgpack:"z"`
	Loads        []Load        `msgpack:"l,omitempty"`
	Observations []Observation `msgpack:"o,omitempty"`
}

// Scope says how far a report goes.
type Scope uint8

// Scopes of reports.
const (
	ScopeZone   Scope = iota // VMs of this VM's zone
	ScopeRegion              // VMs of the region's other zones
)

// Config describes the VM and how the balancer weighs.
type Config struct {
	Self   fleet.VMID
	Region fleet.Region
	Zone   fleet.Zone
	Seed   uint64
	Prices Prices
	Budget Budget
}

// Prices weigh bytes that leave the zone, in units of a served request.
type Prices struct {
	ZonePerKB   float64 // between zones of a region
	RegionPerKB float64 // between regions
}

// Budget bounds repeats: requests that reach a service's servers beyond the first
// time, over all VMs of the fleet.
type Budget struct {
	Ratio  float64       // repeats over the requests for the service
	Window time.Duration // over which the bound holds
	Slack  float64       // repeats in a window beyond the ratio, for the whole fleet
}
