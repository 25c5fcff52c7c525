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

func entry(r request, attempt string, at time.Duration, ended standin.Ended) standin.Entry {
	return standin.Entry{RequestID: r.id() + "." + attempt, Start: origin.Add(at), End: origin.Add(at + 10*time.Millisecond), Ended: ended}
}

// A fabricated pair of ledgers with one fault of each kind must be found out, and the
// rightful calls beside them must not.
func TestInvariantsAreFound(t *testing.T) {
	routes := map[string]Route{"menu": {Method: "GET", Idempotent: true}, "book": {Method: "POST", Keyed: true}}
	told := func(n int, route string, o outcome) call {
		return call{request: request{n: n, route: route}, vm: "vm-1", server: "s-1", outcome: o}
	}
	calls := []call{
		told(0, "book", outAnswered), // ran once
		told(1, "book", outAnswered), // ran at two servers
		told(2, "book", outUnknown),  // ran at one server twice
		told(3, "menu", outAnswered), // repeated, which is allowed
		told(4, "menu", outNotRun),   // ran
		told(5, "book", outNotRun),   // did not run
		told(6, "menu", outWrong),    // foreign answer
		told(7, "menu", outAnswered), // no server ran it
		told(8, "menu", outCut),
		told(9, "menu", outLost), // its VM was killed
		told(10, "book", outUnknown),
	}
	at := func(n int) request { return calls[n].request }
	ledgers := map[fleet.ServerID][]standin.Entry{
		"s-1": {
			entry(at(0), "1", 0, standin.EndedDone), entry(at(1), "1", 0, standin.EndedDone), entry(at(2), "1", 0, standin.EndedCancelled),
			entry(at(2), "2", time.Second, standin.EndedDone), entry(at(3), "1", 0, standin.EndedDone), entry(at(4), "1", 0, ""),
			entry(at(6), "1", 0, standin.EndedDone), entry(at(8), "1", 0, standin.EndedDone),
		},
		"s-2": {entry(at(1), "2", 0, standin.EndedDone), entry(at(3), "2", 0, standin.EndedDone)},
	}
	b := newBooks(calls, ledgers)
	got, found := b.invariants(routes)
	require.Equal(t, Invariants{RunTwice: 2, NotRunButRan: 1, WrongAnswerPassed: 2, RequestsCut: 1}, got)
	var named []string
	for _, f := range found {
		named = append(named, f.Rule+" "+f.Request)
	}
	require.Equal(t, []string{
		"run_twice req-0000001", "run_twice req-0000002", "not_run_but_ran req-0000004",
		"wrong_answer_passed req-0000006", "wrong_answer_passed req-0000007", "requests_cut req-0000008",
	}, named)
	require.False(t, b.servedOnce(&calls[1], routes["book"]), "an answer after two runs is not served once")
	require.True(t, b.servedOnce(&calls[3], routes["menu"]))
}

// An answer with the bytes of another request must not count as answered.
func TestJudgeAnswers(t *testing.T) {
	route := Route{Method: "POST", Answer: 100}
	c := call{request: request{n: 1, route: "book"}, status: 200}
	own, foreign := c.expected(route), request{n: 2, route: "book"}.expected(route)
	require.Len(t, own, 100)
	require.Equal(t, outAnswered, c.judge("", route, own))
	require.Equal(t, outWrong, c.judge("", route, foreign))
	require.Equal(t, outWrong, c.judge("", route, own[:99]))
	require.Equal(t, outNotRun, c.judge("not-run", route, ""))
	require.Equal(t, outUnknown, c.judge("unknown", route, ""))
}

// Detection must not count trials, and must count an ordinary request of another VM
// that ran at the same time.
func TestDetectionLeavesTrialsOut(t *testing.T) {
	calls := []call{
		{request: request{n: 0, route: "menu"}, vm: "vm-1"}, {request: request{n: 1, route: "menu"}, vm: "vm-1"},
		{request: request{n: 2, route: "menu"}, vm: "vm-2"},
	}
	b := newBooks(calls, map[fleet.ServerID][]standin.Entry{"s-1": {
		entry(calls[0].request, "1", time.Second, standin.EndedDone), entry(calls[1].request, "1", 3*time.Second, standin.EndedDone),
		entry(calls[2].request, "1", 2*time.Second, standin.EndedDone),
	}})
	b.markTrials([]trial{{"vm-1", "s-1", "menu", origin.Add(3*time.Second - time.Millisecond)}})
	var runs []run
	for _, list := range b.runs {
		runs = append(runs, list...)
	}
	require.Equal(t, 2*time.Second, lastOrdinary(runs, origin, origin.Add(10*time.Second)))
}

// The whole path must keep the invariants under load with a server that mixes answers
// up, and the report must hold what the scenario brings about and nothing else.
func TestTinyScenarioKeepsInvariants(t *testing.T) {
	s, err := Parse([]byte(tiny))
	require.NoError(t, err)
	r, err := Run(context.Background(), s, Options{Policies: []string{ProductPolicy}})
	require.NoError(t, err)
	m := r.Policies[ProductPolicy]
	require.Empty(t, m.Broken(), "%+v", m.Findings)
	require.NotZero(t, m.Outcomes[outAnswered])
	total := 0
	for _, n := range m.Outcomes {
		total += n
	}
	require.Equal(t, r.Size.Requests, total, "every request is accounted for")
	require.NotNil(t, m.WeightServedRatio)
	require.Nil(t, m.RegionBytes, "one region")
	require.Nil(t, m.AddedP99MS, "no direct calls")
	require.Nil(t, m.ShortWaitP99Ratio, "no run beside")
}

// The fitted line must be the one that the values lie on.
func TestSlopeFit(t *testing.T) {
	var s Slope
	for _, x := range []float64{1, 2, 4} {
		s.add(x, 3+2*x)
	}
	require.InDelta(t, 2, s.PerUnit, 1e-9)
	require.InDelta(t, 3, s.Intercept, 1e-9)
	require.InDelta(t, 1, s.Fit, 1e-9)
}
