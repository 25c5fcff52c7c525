// Package balance selects a backend server for each request from what the VMs of the zone
// and region report about the servers: outcomes, load and failed connections. Each VM
// decides locally, so that no request waits for another VM.
//
// A server's health is estimated as the probability that it is currently failing (its
// risk). Outcomes update the estimate by Bayes' rule. Without outcomes it decays towards
// the stationary probability of a two-state Markov model, since failing servers recover
// and healthy ones start to fail. The selection weighs the risk against load, latency and
// the cost of traffic that leaves the zone.
//
// The package is deterministic: it uses no clock, socket or goroutine.
package balance

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// Outcome classifies the result of an attempt as evidence about its server.
type Outcome uint8

// Outcomes of attempts. Their numbers are part of the protocol between VMs.
const (
	OutcomeOK          Outcome = iota + 1
	OutcomeFailed              // a failure status or an invalid response
	OutcomeTimeout             // no response by the deadline
	OutcomeLate                // no response yet, long after the expected duration
	OutcomeShed                // the server refused the request because of its load
	OutcomeUnreachable         // the connection failed
	OutcomeLeaving             // the server is shutting down, or another one has its address
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	names := [...]string{"none", "ok", "failed", "timeout", "late", "shed", "unreachable", "leaving"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// outcomeOf maps the end state of an attempt to an outcome; 0 is no evidence.
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

// Observation is an outcome observed by a VM.
type Observation struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server   fleet.ServerID
	Outcome  Outcome
	AgeMS    int64   // milliseconds from the outcome to the report
	Final    bool    // the request is not retried, so its caller gets this outcome
	Slowdown float32 // duration over the route's average; 0: unknown
}

// Load is the number of a VM's requests in flight at a server.
type Load struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server   fleet.ServerID
	InFlight int
}

// Report carries a VM's observations since its last report to the same scope, all of its current
// load that concerns the scope, and its recent use of rate limits.
type Report struct {
	Zone         fleet.Zone     `msgpack:"z"`
	Loads        []Load         `msgpack:"l,omitempty"`
	Observations []Observation  `msgpack:"o,omitempty"`
	Notices      []ServerNotice `msgpack:"m,omitempty"`
}

// Scope selects the recipients of a report.
type Scope uint8

// Scopes of reports.
const (
	ScopeZone   Scope = iota // VMs of this VM's zone
	ScopeRegion              // VMs of the region's other zones
)

// Config holds the VM's identity and the parameters of the balancer.
type Config struct {
	Self   fleet.VMID
	Region fleet.Region
	Zone   fleet.Zone
	Seed   uint64
	Prices Prices
	Budget RetryBudget
}

// Prices are the costs of traffic that leaves the zone, in units of one successful request.
type Prices struct {
	CrossZonePerKB   float64 // between zones of a region
	CrossRegionPerKB float64 // between regions
}

// RetryBudget bounds a service's retries: attempts beyond the first of each request, over all
// VMs of the fleet.
type RetryBudget struct {
	Ratio  float64       // retries over the requests for the service
	Window time.Duration // sliding window in which the bound holds
	Slack  float64       // retries per window beyond the ratio, for the whole fleet
}
