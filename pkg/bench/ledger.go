package bench

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// execution is an entry of a server's ledger: a request that the server ran.
type execution struct {
	standin.LedgerEntry
	server fleet.ServerID
	trial  bool
}

// joinedLedger holds the callers' ledger joined with the servers' ledgers.
type joinedLedger struct {
	calls      []call
	executions map[string][]execution // by the caller's request id; each server's are in order of start
}

// newJoinedLedger joins the ledgers. Executions of requests from bad callers, which are
// not in the callers' ledger, are kept under their ids.
func newJoinedLedger(calls []call, ledgers map[fleet.ServerID][]standin.LedgerEntry) *joinedLedger {
	jl := &joinedLedger{calls: calls, executions: map[string][]execution{}}
	for server, entries := range ledgers {
		for _, e := range entries {
			id := e.CallerRequestID()
			jl.executions[id] = append(jl.executions[id], execution{LedgerEntry: e, server: server})
		}
	}
	return jl
}

// markTrials marks the executions that were trial requests. Each trial decision is matched
// with the first execution for the same VM, server and route that began after it.
func (jl *joinedLedger) markTrials(trials []trial) {
	type dispatch struct {
		vm     fleet.VMID
		server fleet.ServerID
		route  string
	}
	pending := map[dispatch][]time.Time{}
	for _, t := range trials {
		key := dispatch{t.vm, t.server, t.route}
		pending[key] = append(pending[key], t.at)
	}
	for i := range jl.calls {
		c := &jl.calls[i]
		list := jl.executions[c.id()]
		for k := range list {
			key := dispatch{c.vm, list[k].server, c.route}
			at := firstWithinDelay(pending[key], list[k].Start)
			if at < 0 {
				continue
			}
			list[k].trial = true
			pending[key] = append(pending[key][:at:at], pending[key][at+1:]...)
		}
	}
}

// maxDispatchDelay is the longest time from a decision to the start of the work at the
// server.
const maxDispatchDelay = 250 * time.Millisecond

func firstWithinDelay(decisions []time.Time, start time.Time) int {
	for i, at := range decisions {
		if delay := start.Sub(at); delay >= 0 && delay <= maxDispatchDelay {
			return i
		}
	}
	return -1
}

// Invariants are counts that must be zero.
type Invariants struct {
	RunTwice            int `json:"run_twice"`
	NotRunButRan        int `json:"not_run_but_ran"`
	WrongResponsePassed int `json:"wrong_answer_passed"`
	ResponsesTruncated  int `json:"requests_cut"`
}

// Violation is a request that violates an invariant.
type Violation struct {
	Rule    string   `json:"rule"`
	Request string   `json:"request"`
	Route   string   `json:"route"`
	VM      string   `json:"vm"`
	AtMS    float64  `json:"at_ms"`
	Code    string   `json:"code,omitempty"`
	Servers []string `json:"servers,omitempty"`
}

// maxViolations limits the violations that a report lists.
const maxViolations = 20

// invariants compares the responses that callers got with the servers' executions.
func (jl *joinedLedger) invariants(routes map[string]Route) (Invariants, []Violation) {
	var out Invariants
	var violations []Violation
	for i := range jl.calls {
		c := &jl.calls[i]
		runs := jl.executions[c.id()]
		record := func(rule string, count *int) {
			*count++
			if len(violations) < maxViolations {
				v := Violation{Rule: rule, Request: c.id(), Route: c.route, VM: string(c.vm), AtMS: ms(c.at), Code: c.code}
				for _, r := range runs {
					v.Servers = append(v.Servers, string(r.server))
				}
				violations = append(violations, v)
			}
		}
		if !routes[c.route].Idempotent && len(runs) > 1 {
			record("run_twice", &out.RunTwice)
		}
		if (c.outcome == outcomeNotRun || c.outcome == outcomeRefused) && len(runs) > 0 {
			record("not_run_but_ran", &out.NotRunButRan)
		}
		// A response that no server sent is wrong even if its bytes are correct.
		if c.outcome == outcomeWrong || c.outcome == outcomeAnswered && len(runs) == 0 {
			record("wrong_answer_passed", &out.WrongResponsePassed)
		}
		if c.outcome == outcomeCut {
			record("requests_cut", &out.ResponsesTruncated)
		}
	}
	return out, violations
}

// servedOnce reports whether the call got its own complete response. Requests that are
// not idempotent must also have run exactly once.
func (jl *joinedLedger) servedOnce(c *call, route Route) bool {
	return c.outcome == outcomeAnswered && (route.Idempotent || len(jl.executions[c.id()]) == 1)
}

// answeringExecution returns the execution whose response the caller got, or nil.
func (jl *joinedLedger) answeringExecution(c *call) *execution {
	runs := jl.executions[c.id()]
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].server == c.server && runs[i].Result == standin.RunDone {
			return &runs[i]
		}
	}
	return nil
}

// wait returns a call's time from sending to response, minus its work time and the
// simulated path latency. It reports false for calls that no server answered.
func (jl *joinedLedger) wait(c *call, t Topology, zone func(fleet.ServerID) fleet.Zone) (time.Duration, bool) {
	r := jl.answeringExecution(c)
	if r == nil {
		return 0, false
	}
	return c.done.Sub(c.sent) - r.End.Sub(r.Start) - 2*t.oneWay(c.zone, zone(c.server)), true
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
