package bench

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// run is an entry of a server's ledger.
type run struct {
	standin.Entry
	server fleet.ServerID
	trial  bool
}

// books joins the callers' ledger with the servers' ledgers.
type books struct {
	calls []call
	runs  map[string][]run // by the caller's request id, in order of start at each server
}

// newBooks joins the ledgers. Runs of requests that no caller of the scenario sent
// (bad callers) stay in runs under their ids.
func newBooks(calls []call, ledgers map[fleet.ServerID][]standin.Entry) *books {
	b := &books{calls: calls, runs: map[string][]run{}}
	for server, entries := range ledgers {
		for _, e := range entries {
			id := e.Request()
			b.runs[id] = append(b.runs[id], run{Entry: e, server: server})
		}
	}
	return b
}

// markTrials tells runs on trial from ordinary ones: each decision is matched with
// the first run of the same VM, server and route that began after it.
func (b *books) markTrials(trials []trial) {
	type lane struct {
		vm     fleet.VMID
		server fleet.ServerID
		route  string
	}
	due := map[lane][]time.Time{}
	for _, t := range trials {
		l := lane{t.vm, t.server, t.route}
		due[l] = append(due[l], t.at)
	}
	for i := range b.calls {
		c := &b.calls[i]
		list := b.runs[c.id()]
		for k := range list {
			l := lane{c.vm, list[k].server, c.route}
			at := earliestWithin(due[l], list[k].Start)
			if at < 0 {
				continue
			}
			list[k].trial = true
			due[l] = append(due[l][:at:at], due[l][at+1:]...)
		}
	}
}

// trialLag bounds the time from a decision to the start of the work at the server.
const trialLag = 250 * time.Millisecond

func earliestWithin(decisions []time.Time, start time.Time) int {
	for i, at := range decisions {
		if lag := start.Sub(at); lag >= 0 && lag <= trialLag {
			return i
		}
	}
	return -1
}

// Invariants are counts that must be zero.
type Invariants struct {
	RunTwice          int `json:"run_twice"`
	NotRunButRan      int `json:"not_run_but_ran"`
	WrongAnswerPassed int `json:"wrong_answer_passed"`
	RequestsCut       int `json:"requests_cut"`
}

// Finding is one request that breaks an invariant.
type Finding struct {
	Rule    string   `json:"rule"`
	Request string   `json:"request"`
	Route   string   `json:"route"`
	VM      string   `json:"vm"`
	AtMS    float64  `json:"at_ms"`
	Code    string   `json:"code,omitempty"`
	Servers []string `json:"servers,omitempty"`
}

// maxFindings bounds the findings that a report names.
const maxFindings = 20

// invariants compares what callers were told with what ran.
func (b *books) invariants(routes map[string]Route) (Invariants, []Finding) {
	var out Invariants
	var found []Finding
	for i := range b.calls {
		c := &b.calls[i]
		runs := b.runs[c.id()]
		note := func(rule string, count *int) {
			*count++
			if len(found) < maxFindings {
				f := Finding{Rule: rule, Request: c.id(), Route: c.route, VM: string(c.vm), AtMS: ms(c.at), Code: c.code}
				for _, r := range runs {
					f.Servers = append(f.Servers, string(r.server))
				}
				found = append(found, f)
			}
		}
		if !routes[c.route].Idempotent && len(runs) > 1 {
			note("run_twice", &out.RunTwice)
		}
		if (c.outcome == outNotRun || c.outcome == outRefused) && len(runs) > 0 {
			note("not_run_but_ran", &out.NotRunButRan)
		}
		// An answer that no server gave is wrong even if its bytes are right.
		if c.outcome == outWrong || c.outcome == outAnswered && len(runs) == 0 {
			note("wrong_answer_passed", &out.WrongAnswerPassed)
		}
		if c.outcome == outCut {
			note("requests_cut", &out.RequestsCut)
		}
	}
	return out, found
}

// servedOnce reports whether the call got its own whole answer. Work that is not
// idempotent must also have run once.
func (b *books) servedOnce(c *call, route Route) bool {
	return c.outcome == outAnswered && (route.Idempotent || len(b.runs[c.id()]) == 1)
}

// answering returns the run whose answer the caller got, or nil.
func (b *books) answering(c *call) *run {
	runs := b.runs[c.id()]
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].server == c.server && runs[i].Ended == standin.EndedDone {
			return &runs[i]
		}
	}
	return nil
}

// wait is the part of a call's time that is neither work nor simulated path.
func (b *books) wait(c *call, t Topology, zone func(fleet.ServerID) fleet.Zone) (time.Duration, bool) {
	r := b.answering(c)
	if r == nil {
		return 0, false
	}
	return c.done.Sub(c.sent) - r.End.Sub(r.Start) - 2*t.oneWay(c.zone, zone(c.server)), true
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
