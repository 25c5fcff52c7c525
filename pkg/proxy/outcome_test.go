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
			r := newTestProxy(t, testProxyOptions{backends: 1, echo: "X-Echo", budget: 9, retries: 2})
			first := r.post("/book/first", "x") // gives FaultCross a response to repeat
			r.checkInvariants(first, false)
			require.Equal(t, 200, first.status)
			r.backends[0].SetMode(standin.Mode{Fault: c.fault})

			a := r.post("/book/seat", "body", "X-Workspace", "kolfe")
			require.NoError(t, a.err)
			r.checkInvariants(a, false)
			require.Equal(t, c.code, a.code(), a.body)
			require.Equal(t, 1, r.runCount(a.id), "the work itself ran")
			eventually(t, "slot freed", r.engine.idle)
			require.Equal(t, c.end, r.engine.lastEnd())

			k := r.post("/book/seat", "body", "Idempotency-Key", "k1")
			r.checkInvariants(k, false)
			want := keys.FinishDone
			if c.code != 0 {
				want = keys.FinishUnknown
			}
			eventually(t, "key finished", func() bool { return len(r.engine.finishStates()) == 1 })
			if c.fault != standin.FaultLateDuplicate { // the late second response may reach this request, which the echoed ID reveals
				require.Equal(t, []keys.FinishResult{want}, r.engine.finishStates())
			}

			// The effects of the fault on connections do not reach later requests.
			r.backends[0].SetMode(standin.Mode{})
			for range 5 {
				n := r.get("/menu")
				r.checkInvariants(n, true)
				require.Equal(t, 200, n.status, n.body)
			}
			require.True(t, r.engine.idle())
		})
	}
}

// Guards against a truncated long or chunked response that the caller takes for complete: after the
// first byte the connection must be aborted, before it a 502 is sent.
func TestTruncationAfterFirstByteAbortsCallerConnection(t *testing.T) {
	r := newTestProxy(t, testProxyOptions{backends: 1})
	r.backends[0].SetMode(standin.Mode{Fault: standin.FaultTruncate})
	a := r.get("/menu?size=300000")
	require.Error(t, a.err)
	require.Equal(t, 200, a.status)
	r.backends[0].SetMode(standin.Mode{Fault: standin.FaultTruncateChunked})
	for _, size := range []int{16, 300000} {
		a = r.get(fmt.Sprintf("/menu?size=%d", size))
		require.Error(t, a.err)
		a = r.post(fmt.Sprintf("/book?size=%d", size), "x", "Idempotency-Key", "k")
		require.Error(t, a.err)
	}
	eventually(t, "keys finished", func() bool { return len(r.engine.finishStates()) == 2 })
	require.Equal(t, []keys.FinishResult{keys.FinishUnknown, keys.FinishUnknown}, r.engine.finished)
	require.True(t, r.engine.idle())
	require.Equal(t, pool.EndFailed, r.engine.lastEnd())
}

// Guards against the loss of idempotent requests: each fault leads to a retry on the other server, and
// the caller receives a complete response to its own request.
func TestIdempotentRequestIsRetriedOnOtherServer(t *testing.T) {
	for _, f := range []standin.Fault{standin.FaultError, standin.FaultTruncate, standin.FaultTruncateChunked, standin.FaultCloseEmpty,
		standin.FaultCross, standin.FaultGarbage} {
		r := newTestProxy(t, testProxyOptions{backends: 2, echo: "X-Echo", budget: 1, retries: 1})
		for range 2 {
			r.checkInvariants(r.get("/menu/first"), true)
		}
		r.backends[0].SetMode(standin.Mode{Fault: f})
		a := r.get("/menu")
		if f == standin.FaultTruncateChunked {
			// The first half has already been forwarded: no retry is possible.
			require.Error(t, a.err)
			continue
		}
		r.checkInvariants(a, true)
		require.Equal(t, 200, a.status, "%s: %s", f, a.body)
		require.Equal(t, "s1", a.header.Get(standin.HeaderServer))
		require.True(t, r.engine.works[len(r.engine.works)-1].IsRetry)
		recorded := slices.IndexFunc(r.engine.events, func(e fleet.Event) bool { return e.Kind == eventRetry && e.Request == a.id })
		require.GreaterOrEqual(t, recorded, 0, "the retry was not recorded as an event")

		// Without retry budget the first outcome is final.
		a = r.get("/menu")
		r.checkInvariants(a, true)
		require.NotEqual(t, 200, a.status, "%s", f)
	}
}

// Guards against losing a non-idempotent request that a server shed or declined while draining, and
// against "not-run" for a request that ran.
func TestDeclinedRequestIsRetriedAndReportedNotRun(t *testing.T) {
	r := newTestProxy(t, testProxyOptions{backends: 2, budget: 1, retries: 1, slots: 1})
	occupySlot := func(b *standin.Backend) func() {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+b.Addr()+"/hold?work=1h", nil)
		require.NoError(t, err)
		go func() { _, _ = http.DefaultClient.Do(req) }()
		eventually(t, "slot occupied", func() bool { return b.Counts().Running == 1 })
		return cancel
	}
	defer occupySlot(r.backends[0])()
	a := r.post("/book", "b", "Idempotency-Key", "k1")
	r.checkInvariants(a, false)
	require.Equal(t, 200, a.status)
	require.Equal(t, 1, r.backends[0].Counts().Shed)
	require.Equal(t, pool.EndShed, r.engine.ends[0].State)

	r.engine.budget = 1
	r.engine.next = 0
	r.backends[1].Drain(true)
	a = r.post("/book", "b", "Idempotency-Key", "k2")
	r.checkInvariants(a, false)
	require.Equal(t, result.ServersDeclined, a.code())
	require.Equal(t, keys.FinishNotRun, r.engine.finished[len(r.engine.finished)-1])
	require.Equal(t, pool.EndDraining, r.engine.lastEnd())

	a = r.post("/book", "b") // the budget is exhausted
	r.checkInvariants(a, false)
	require.Equal(t, result.RetryBudgetSpent, a.code())
	require.Empty(t, a.header.Get("X-Fulmar-Shed"))
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
		{"request cut", faultproxy.Faults{Up: faultproxy.FlowFaults{Drop: true}}, "/tight", result.DeadlinePassed},
		{"answer cut", faultproxy.Faults{Down: faultproxy.FlowFaults{Drop: true}}, "/tight", result.DeadlinePassed},
		{"answer ends early", faultproxy.Faults{Down: faultproxy.FlowFaults{CloseAfter: 120}}, "/book", result.AnswerTruncated},
		{"answer delayed", faultproxy.Faults{Down: faultproxy.FlowFaults{Delay: time.Millisecond, Bandwidth: 1 << 20}}, "/book", 0},
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
			r := newTestProxy(t, testProxyOptions{addrs: []string{f.Addr()}, retries: 2, budget: 9})
			r.backends = append(r.backends, b)
			f.SetFaults(c.faults)
			a := r.post(c.path, "some body", "Idempotency-Key", "k")
			require.NoError(t, a.err)
			r.checkInvariants(a, false)
			if c.name == "refused" && a.code() == result.ServerUnreachable {
				return // the reset was received before the first byte was sent
			}
			require.Equal(t, c.code, a.code(), a.body)
			if c.path == "/tight" {
				require.Equal(t, pool.EndTimeout, r.engine.lastEnd())
			}
			if c.name == "request cut" {
				require.Equal(t, []keys.FinishResult{keys.FinishUnknown}, r.engine.finished)
				require.Zero(t, r.runCount(a.id))
			}
			eventually(t, "slot freed", r.engine.idle)
		})
	}
}

// Guards against a wrong outcome for requests that were never sent to a server.
func TestRefusedBeforeDispatch(t *testing.T) {
	r := newTestProxy(t, testProxyOptions{backends: 1, addrs: []string{"127.0.0.1:1"}, budget: 9})
	a := r.post("/book", "x")
	require.Equal(t, result.ServerUnreachable, a.code())
	require.Equal(t, pool.EndUnreachable, r.engine.lastEnd())
	r.checkInvariants(a, false)

	r.engine.next = 1
	r.engine.expiredDispatch = true
	a = r.post("/book", "x", "Idempotency-Key", "k")
	require.Equal(t, result.DispatchTooLate, a.code())
	require.Equal(t, []keys.FinishResult{keys.FinishNotRun}, r.engine.finished)
	r.checkInvariants(a, false)

	r.engine.refusal = result.NoCapacity
	a = r.post("/book", "x", "X-Workspace", "kolfe")
	require.Equal(t, result.NoCapacity, a.code())
	require.Equal(t, 503, a.status)
	require.Contains(t, a.body, `"outcome":"not-run"`)
	require.Equal(t, 3.0, r.engine.works[len(r.engine.works)-1].Weight)

	require.Equal(t, result.NoRoute, r.get("/other").code())
	require.Equal(t, result.KeyRequired, r.post("/keyed", "x").code())
	require.Equal(t, result.KeyInvalid, r.post("/keyed", "x", "Idempotency-Key", strings.Repeat("k", 256)).code())
	require.Equal(t, result.KeyInvalid, r.post("/keyed", "x", "Idempotency-Key", "a", "Idempotency-Key", "b").code())
	require.Equal(t, result.BadRequest, r.get("/menu", "Connection", "Upgrade", "Upgrade", "websocket").code())
	require.Equal(t, result.BadRequest, r.get("/menu/../book").code())
	require.Zero(t, r.backends[0].Counts().Started)

	r.engine.byKey["done"] = keys.Decision{Verdict: keys.VerdictReplay,
		Answer: &keys.Answer{Status: 201, Header: http.Header{"X-A": {"b"}}, Body: []byte("kept")}}
	a = r.post("/keyed", "x", "Idempotency-Key", "done")
	require.Equal(t, []any{201, "kept", "true", "b"}, []any{a.status, a.body, a.header.Get("Idempotent-Replayed"), a.header.Get("X-A")})
	r.engine.byKey["running"] = keys.Decision{Verdict: keys.VerdictRefuse, Code: result.KeyRunning}
	require.Equal(t, result.KeyRunning, r.post("/keyed", "x", "Idempotency-Key", "running").code())
	require.Len(t, r.engine.finished, 1)
}

// Guards the invariants under many concurrent requests with seeded faults that change while requests are
// in flight.
func TestInvariantsUnderMixedFaults(t *testing.T) {
	const workers, each = 24, 40
	r := newTestProxy(t, testProxyOptions{backends: 3, echo: "X-Echo", budget: 1 << 30, retries: 2})
	faults := []standin.Fault{standin.FaultNone, standin.FaultError, standin.FaultTruncate, standin.FaultTruncateChunked, standin.FaultCloseHeaders,
		standin.FaultCloseEmpty, standin.FaultCross, standin.FaultDuplicate, standin.FaultLateDuplicate, standin.FaultResetBody, standin.FaultGarbage}
	var wg sync.WaitGroup
	replies := make([][]reply, workers)
	for w := range workers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(w)))
			for i := range each {
				if w < len(r.backends) {
					r.backends[w].SetMode(standin.Mode{Fault: faults[rng.IntN(len(faults))], FailShare: 0.5})
				}
				path := fmt.Sprintf("/menu/%d-%d?size=%d", w, i, rng.IntN(3)*50000)
				if i%2 == 0 {
					replies[w] = append(replies[w], r.post("/book"+path, path))
				} else {
					replies[w] = append(replies[w], r.get(path))
				}
			}
		})
	}
	wg.Wait()
	answered := 0
	for _, rs := range replies {
		for i, a := range rs {
			r.checkInvariants(a, i%2 == 1)
			if a.err == nil && a.code() == 0 {
				answered++
			}
		}
	}
	require.Greater(t, answered, workers*each/4)
	eventually(t, "slots freed", r.engine.idle)
}
