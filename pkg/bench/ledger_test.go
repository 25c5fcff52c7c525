package bench

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

var origin = time.Unix(1_000_000, 0)

func entry(r request, attempt string, at time.Duration, result standin.RunResult) standin.LedgerEntry {
	return standin.LedgerEntry{RequestID: r.id() + "." + attempt, Start: origin.Add(at), End: origin.Add(at + 10*time.Millisecond), Result: result}
}

// Invariant violations of each kind in constructed ledgers must be reported, and correct
// calls in the same ledgers must not.
func TestInvariantViolationsAreReported(t *testing.T) {
	routes := map[string]Route{"menu": {Method: "GET", Idempotent: true}, "book": {Method: "POST", Keyed: true}}
	newCall := func(n int, route string, o outcome) call {
		return call{request: request{n: n, route: route}, vm: "vm-1", server: "s-1", outcome: o}
	}
	calls := []call{
		newCall(0, "book", outcomeAnswered), // ran once
		newCall(1, "book", outcomeAnswered), // ran at two servers
		newCall(2, "book", outcomeUnknown),  // ran at one server twice
		newCall(3, "menu", outcomeAnswered), // ran at two servers, which is allowed
		newCall(4, "menu", outcomeNotRun),   // ran
		newCall(5, "book", outcomeNotRun),   // did not run
		newCall(6, "menu", outcomeWrong),    // response to another request
		newCall(7, "menu", outcomeAnswered), // no server ran it
		newCall(8, "menu", outcomeCut),
		newCall(9, "menu", outcomeLost), // its VM was killed
		newCall(10, "book", outcomeUnknown),
	}
	requestOf := func(n int) request { return calls[n].request }
	ledgers := map[fleet.ServerID][]standin.LedgerEntry{
		"s-1": {
			entry(requestOf(0), "1", 0, standin.RunDone), entry(requestOf(1), "1", 0, standin.RunDone), entry(requestOf(2), "1", 0, standin.RunCancelled),
			entry(requestOf(2), "2", time.Second, standin.RunDone), entry(requestOf(3), "1", 0, standin.RunDone), entry(requestOf(4), "1", 0, ""),
			entry(requestOf(6), "1", 0, standin.RunDone), entry(requestOf(8), "1", 0, standin.RunDone),
		},
		"s-2": {entry(requestOf(1), "2", 0, standin.RunDone), entry(requestOf(3), "2", 0, standin.RunDone)},
	}
	jl := newJoinedLedger(calls, ledgers)
	got, violations := jl.invariants(routes)
	require.Equal(t, Invariants{RunTwice: 2, NotRunButRan: 1, WrongResponsePassed: 2, ResponsesTruncated: 1}, got)
	var named []string
	for _, v := range violations {
		named = append(named, v.Rule+" "+v.Request)
	}
	require.Equal(t, []string{
		"run_twice req-0000001", "run_twice req-0000002", "not_run_but_ran req-0000004",
		"wrong_answer_passed req-0000006", "wrong_answer_passed req-0000007", "requests_cut req-0000008",
	}, named)
	require.False(t, jl.servedOnce(&calls[1], routes["book"]), "a response after two executions is not served once")
	require.True(t, jl.servedOnce(&calls[3], routes["menu"]))
}

// A response with the body of another request must not count as answered.
func TestClassifyResponses(t *testing.T) {
	route := Route{Method: "POST", ResponseBytes: 100}
	c := call{request: request{n: 1, route: "book"}, status: 200}
	own, foreign := c.expectedBody(route), request{n: 2, route: "book"}.expectedBody(route)
	require.Len(t, own, 100)
	require.Equal(t, outcomeAnswered, c.classify("", route, own))
	require.Equal(t, outcomeWrong, c.classify("", route, foreign))
	require.Equal(t, outcomeWrong, c.classify("", route, own[:99]))
	require.Equal(t, outcomeNotRun, c.classify("not-run", route, ""))
	require.Equal(t, outcomeUnknown, c.classify("unknown", route, ""))
}

// Detection must ignore trial requests but count regular requests that other VMs send to
// the server in the same period.
func TestDetectionIgnoresTrials(t *testing.T) {
	calls := []call{
		{request: request{n: 0, route: "menu"}, vm: "vm-1"}, {request: request{n: 1, route: "menu"}, vm: "vm-1"},
		{request: request{n: 2, route: "menu"}, vm: "vm-2"},
	}
	jl := newJoinedLedger(calls, map[fleet.ServerID][]standin.LedgerEntry{"s-1": {
		entry(calls[0].request, "1", time.Second, standin.RunDone), entry(calls[1].request, "1", 3*time.Second, standin.RunDone),
		entry(calls[2].request, "1", 2*time.Second, standin.RunDone),
	}})
	jl.markTrials([]trial{{"vm-1", "s-1", "menu", origin.Add(3*time.Second - time.Millisecond)}})
	var runs []execution
	for _, list := range jl.executions {
		runs = append(runs, list...)
	}
	require.Equal(t, 2*time.Second, lastRegularStart(runs, origin, origin.Add(10*time.Second)))
}

// End-to-end run: the invariants must hold under load with a server that mixes up
// responses, and the report must contain exactly the measures that apply to the scenario.
func TestTinyScenarioKeepsInvariants(t *testing.T) {
	s, err := Parse([]byte(tiny))
	require.NoError(t, err)
	r, err := Run(context.Background(), s, Options{Policies: []string{ProductPolicy}})
	require.NoError(t, err)
	m := r.Policies[ProductPolicy]
	require.Empty(t, m.ViolatedInvariants(), "%+v", m.Violations)
	require.NotZero(t, m.Outcomes[outcomeAnswered])
	total := 0
	for _, n := range m.Outcomes {
		total += n
	}
	require.Equal(t, r.Size.Requests, total, "every request is accounted for")
	require.NotNil(t, m.WeightServedRatio)
	require.Nil(t, m.RegionBytes, "one region")
	require.Nil(t, m.AddedP99MS, "no direct calls")
	require.Nil(t, m.ShortWaitP99Ratio, "no comparison run")
}

// The fit of values that lie on a line must yield that line.
func TestSlopeFit(t *testing.T) {
	var s Slope
	for _, x := range []float64{1, 2, 4} {
		s.add(x, 3+2*x)
	}
	require.InDelta(t, 2, s.PerUnit, 1e-9)
	require.InDelta(t, 3, s.Intercept, 1e-9)
	require.InDelta(t, 1, s.RSquared, 1e-9)
}
