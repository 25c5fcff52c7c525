package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/faultproxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// Guards against forwarding wrong or truncated responses as complete, a wrong outcome, and a second run
// of a non-idempotent request, for each fault of a server.
func TestServerFaultsAreClassified(t *testing.T) {
	cases := []struct {
		fault standin.Fault
		code  result.Code // of a request that is not retried
		end   pool.EndState
	}{
		{standin.FaultNone, 0, pool.EndOK},
		{standin.FaultError, 0, pool.EndFailed},
		{standin.FaultTruncate, result.AnswerTruncated, pool.EndFailed},
		{standin.FaultCloseHeaders, result.AnswerTruncated, pool.EndFailed},
		{standin.FaultResetBody, result.AnswerTruncated, pool.EndFailed},
		{standin.FaultCloseEmpty, result.AnswerLost, pool.EndFailed},
		{standin.FaultCross, result.AnswerCrossed, pool.EndFailed},
		{standin.FaultUnbounded, result.AnswerUnbounded, pool.EndFailed},
		{standin.FaultGarbage, result.AnswerMalformed, pool.EndFailed},
		{standin.FaultSwitchProtocols, result.AnswerMalformed, pool.EndFailed},
		{standin.FaultDuplicate, 0, pool.EndOK},
		{standin.FaultLateDuplicate, 0, pool.EndOK},
	}
	for _, c := range cases {
		t.Run("fault "+string(c.fault), func(t *testing.T) {
			tp := newTestProxy(t, testProxyOptions{backends: 1, echo: "X-Echo", budget: 9, retries: 2})
			first := tp.post("/book/first", "x") // a response that FaultCross can send again
			tp.checkInvariants(first, false)
			require.Equal(t, 200, first.status)
			tp.backends[0].SetMode(standin.Mode{Fault: c.fault})

			resp := tp.post("/book/seat", "body", "X-Workspace", "kolfe")
			require.NoError(t, resp.err)
			tp.checkInvariants(resp, false)
			require.Equal(t, c.code, resp.code(), resp.body)
			require.Equal(t, 1, tp.runCount(resp.id), "the request itself ran")
			eventually(t, "slot freed", tp.engine.idle)
			require.Equal(t, c.end, tp.engine.lastEnd())

			k := tp.post("/book/seat", "body", "Idempotency-Key", "k1")
			tp.checkInvariants(k, false)
			want := keys.FinishDone
			if c.code != 0 {
				want = keys.FinishUnknown
			}
			eventually(t, "key finished", func() bool { return len(tp.engine.finishResults()) == 1 })
			if c.fault != standin.FaultLateDuplicate { // the late second response may reach this request, which the echoed ID reveals
				require.Equal(t, []keys.FinishResult{want}, tp.engine.finishResults())
			}

			// The effects of the fault on connections do not reach later requests.
			tp.backends[0].SetMode(standin.Mode{})
			for range 5 {
				n := tp.get("/menu")
				tp.checkInvariants(n, true)
				require.Equal(t, 200, n.status, n.body)
			}
			require.True(t, tp.engine.idle())
		})
	}
}

// Guards against a truncated long or chunked response that the caller takes for complete: after the
// first byte the connection must be aborted, before it a 502 is sent.
func TestTruncationAfterFirstByteAbortsCallerConnection(t *testing.T) {
	tp := newTestProxy(t, testProxyOptions{backends: 1})
	tp.backends[0].SetMode(standin.Mode{Fault: standin.FaultTruncate})
	resp := tp.get("/menu?size=300000")
	require.Error(t, resp.err)
	require.Equal(t, 200, resp.status)
	tp.backends[0].SetMode(standin.Mode{Fault: standin.FaultTruncateChunked})
	for _, size := range []int{16, 300000} {
		resp = tp.get(fmt.Sprintf("/menu?size=%d", size))
		require.Error(t, resp.err)
		resp = tp.post(fmt.Sprintf("/book?size=%d", size), "x", "Idempotency-Key", "k")
		require.Error(t, resp.err)
	}
	eventually(t, "keys finished", func() bool { return len(tp.engine.finishResults()) == 2 })
	require.Equal(t, []keys.FinishResult{keys.FinishUnknown, keys.FinishUnknown}, tp.engine.finished)
	require.True(t, tp.engine.idle())
	require.Equal(t, pool.EndFailed, tp.engine.lastEnd())
}

// Guards against the loss of idempotent requests: each fault leads to a retry on the other server, and
// the caller receives a complete response to its own request.
func TestIdempotentRequestIsRetriedOnOtherServer(t *testing.T) {
	for _, f := range []standin.Fault{standin.FaultError, standin.FaultTruncate, standin.FaultTruncateChunked, standin.FaultCloseEmpty,
		standin.FaultCross, standin.FaultGarbage} {
		tp := newTestProxy(t, testProxyOptions{backends: 2, echo: "X-Echo", budget: 1, retries: 1})
		for range 2 {
			tp.checkInvariants(tp.get("/menu/first"), true)
		}
		tp.backends[0].SetMode(standin.Mode{Fault: f})
		resp := tp.get("/menu")
		if f == standin.FaultTruncateChunked {
			// The first half has already been forwarded: no retry is possible.
			require.Error(t, resp.err)
			continue
		}
		tp.checkInvariants(resp, true)
		require.Equal(t, 200, resp.status, "%s: %s", f, resp.body)
		require.Equal(t, "s1", resp.header.Get(standin.HeaderServer))
		require.True(t, tp.engine.works[len(tp.engine.works)-1].IsRetry)
		recorded := slices.IndexFunc(tp.engine.events, func(e fleet.Event) bool { return e.Kind == eventRetry && e.Request == resp.id })
		require.GreaterOrEqual(t, recorded, 0, "the retry was not recorded as an event")

		// Without retry budget the first outcome is final.
		resp = tp.get("/menu")
		tp.checkInvariants(resp, true)
		require.NotEqual(t, 200, resp.status, "%s", f)
	}
}

// Guards against losing a non-idempotent request that a server shed or declined while draining, and
// against "not-run" for a request that ran.
func TestDeclinedRequestIsRetriedAndReportedNotRun(t *testing.T) {
	tp := newTestProxy(t, testProxyOptions{backends: 2, budget: 1, retries: 1, slots: 1})
	occupySlot := func(b *standin.Backend) func() {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+b.Addr()+"/hold?work=1h", nil)
		require.NoError(t, err)
		go func() { _, _ = http.DefaultClient.Do(req) }()
		eventually(t, "slot occupied", func() bool { return b.Counts().Running == 1 })
		return cancel
	}
	defer occupySlot(tp.backends[0])()
	resp := tp.post("/book", "b", "Idempotency-Key", "k1")
	tp.checkInvariants(resp, false)
	require.Equal(t, 200, resp.status)
	require.Equal(t, 1, tp.backends[0].Counts().Shed)
	require.Equal(t, pool.EndShed, tp.engine.ends[0].State)

	tp.engine.budget = 1
	tp.engine.next = 0
	tp.backends[1].Drain(true)
	resp = tp.post("/book", "b", "Idempotency-Key", "k2")
	tp.checkInvariants(resp, false)
	require.Equal(t, result.ServersDeclined, resp.code())
	require.Equal(t, keys.FinishNotRun, tp.engine.finished[len(tp.engine.finished)-1])
	require.Equal(t, pool.EndDraining, tp.engine.lastEnd())

	resp = tp.post("/book", "b") // the budget is exhausted
	tp.checkInvariants(resp, false)
	require.Equal(t, result.RetryBudgetSpent, resp.code())
	require.Empty(t, resp.header.Get("X-Fulmar-Shed"))
}

// Guards against "not-run" after bytes were sent, and against hanging requests, for network faults
// between the proxy and a server.
func TestNetworkFaultsAreClassified(t *testing.T) {
	cases := []struct {
		name   string
		faults faultproxy.Faults
		path   string
		code   result.Code
	}{
		{"refused", faultproxy.Faults{Refuse: true}, "/book", result.AnswerLost},
		{"reset in the request", faultproxy.Faults{Up: faultproxy.FlowFaults{ResetAfter: 100}}, "/book", result.AnswerLost},
		{"request dropped", faultproxy.Faults{Up: faultproxy.FlowFaults{Drop: true}}, "/tight", result.DeadlinePassed},
		{"response dropped", faultproxy.Faults{Down: faultproxy.FlowFaults{Drop: true}}, "/tight", result.DeadlinePassed},
		{"response truncated", faultproxy.Faults{Down: faultproxy.FlowFaults{CloseAfter: 120}}, "/book", result.AnswerTruncated},
		{"response delayed", faultproxy.Faults{Down: faultproxy.FlowFaults{Delay: time.Millisecond, Bandwidth: 1 << 20}}, "/book", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b, err := standin.StartBackend(standin.BackendConfig{})
			require.NoError(t, err)
			defer b.Close()
			f, err := faultproxy.Start(b.Addr(), 1)
			require.NoError(t, err)
			defer f.Close()
			tp := newTestProxy(t, testProxyOptions{addrs: []string{f.Addr()}, retries: 2, budget: 9})
			tp.backends = append(tp.backends, b)
			f.SetFaults(c.faults)
			resp := tp.post(c.path, "some body", "Idempotency-Key", "k")
			require.NoError(t, resp.err)
			tp.checkInvariants(resp, false)
			if c.name == "refused" && resp.code() == result.ServerUnreachable {
				return // the reset was received before the first byte was sent
			}
			require.Equal(t, c.code, resp.code(), resp.body)
			if c.path == "/tight" {
				require.Equal(t, pool.EndTimeout, tp.engine.lastEnd())
			}
			if c.name == "request dropped" {
				require.Equal(t, []keys.FinishResult{keys.FinishUnknown}, tp.engine.finished)
				require.Zero(t, tp.runCount(resp.id))
			}
			eventually(t, "slot freed", tp.engine.idle)
		})
	}
}

// Guards against a wrong outcome for requests that were never sent to a server.
func TestRefusedBeforeDispatch(t *testing.T) {
	tp := newTestProxy(t, testProxyOptions{backends: 1, addrs: []string{"127.0.0.1:1"}, budget: 9})
	resp := tp.post("/book", "x")
	require.Equal(t, result.ServerUnreachable, resp.code())
	require.Equal(t, pool.EndUnreachable, tp.engine.lastEnd())
	tp.checkInvariants(resp, false)

	tp.engine.next = 1
	tp.engine.expiredDispatch = true
	resp = tp.post("/book", "x", "Idempotency-Key", "k")
	require.Equal(t, result.DispatchTooLate, resp.code())
	require.Equal(t, []keys.FinishResult{keys.FinishNotRun}, tp.engine.finished)
	tp.checkInvariants(resp, false)

	tp.engine.refusal = result.NoCapacity
	resp = tp.post("/book", "x", "X-Workspace", "kolfe")
	require.Equal(t, result.NoCapacity, resp.code())
	require.Equal(t, 503, resp.status)
	require.Contains(t, resp.body, `"outcome":"not-run"`)
	require.Equal(t, 3.0, tp.engine.works[len(tp.engine.works)-1].Weight)

	require.Equal(t, result.NoRoute, tp.get("/other").code())
	require.Equal(t, result.KeyRequired, tp.post("/keyed", "x").code())
	require.Equal(t, result.KeyInvalid, tp.post("/keyed", "x", "Idempotency-Key", strings.Repeat("k", 256)).code())
	require.Equal(t, result.KeyInvalid, tp.post("/keyed", "x", "Idempotency-Key", "a", "Idempotency-Key", "b").code())
	require.Equal(t, result.BadRequest, tp.get("/menu", "Connection", "Upgrade", "Upgrade", "websocket").code())
	require.Equal(t, result.BadRequest, tp.get("/menu/../book").code())
	require.Zero(t, tp.backends[0].Counts().Started)

	tp.engine.byKey["done"] = keys.Decision{Verdict: keys.VerdictReplay,
		Answer: &keys.Answer{Status: 201, Header: http.Header{"X-A": {"b"}}, Body: []byte("kept")}}
	resp = tp.post("/keyed", "x", "Idempotency-Key", "done")
	require.Equal(t, []any{201, "kept", "true", "b"}, []any{resp.status, resp.body, resp.header.Get("Idempotent-Replayed"), resp.header.Get("X-A")})
	tp.engine.byKey["running"] = keys.Decision{Verdict: keys.VerdictRefuse, Code: result.KeyRunning}
	require.Equal(t, result.KeyRunning, tp.post("/keyed", "x", "Idempotency-Key", "running").code())
	require.Len(t, tp.engine.finished, 1)
}

// Guards the invariants under many concurrent requests with seeded faults that change while requests are
// in flight.
func TestInvariantsUnderMixedFaults(t *testing.T) {
	const workers, each = 24, 40
	tp := newTestProxy(t, testProxyOptions{backends: 3, echo: "X-Echo", budget: 1 << 30, retries: 2})
	faults := []standin.Fault{standin.FaultNone, standin.FaultError, standin.FaultTruncate, standin.FaultTruncateChunked, standin.FaultCloseHeaders,
		standin.FaultCloseEmpty, standin.FaultCross, standin.FaultDuplicate, standin.FaultLateDuplicate, standin.FaultResetBody, standin.FaultGarbage}
	var wg sync.WaitGroup
	responses := make([][]callerResponse, workers)
	for w := range workers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(w)))
			for i := range each {
				if w < len(tp.backends) {
					tp.backends[w].SetMode(standin.Mode{Fault: faults[rng.IntN(len(faults))], FailShare: 0.5})
				}
				path := fmt.Sprintf("/menu/%d-%d?size=%d", w, i, rng.IntN(3)*50000)
				if i%2 == 0 {
					responses[w] = append(responses[w], tp.post("/book"+path, path))
				} else {
					responses[w] = append(responses[w], tp.get(path))
				}
			}
		})
	}
	wg.Wait()
	succeeded := 0
	for _, rs := range responses {
		for i, resp := range rs {
			tp.checkInvariants(resp, i%2 == 1)
			if resp.err == nil && resp.code() == 0 {
				succeeded++
			}
		}
	}
	require.Greater(t, succeeded, workers*each/4)
	eventually(t, "slots freed", tp.engine.idle)
}
