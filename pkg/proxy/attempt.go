package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// declinedBody is how much of a declined answer's body is read, in bytes.
const declinedBody = 4 << 10

// outcome is what one attempt, or the request as a whole, came to.
type outcome struct {
	code     result.Code // OK when ans holds an answer to pass on
	detail   string
	notRun   bool          // proof that no server ran the work
	declined bool          // a server said that it did not run the work
	again    bool          // another server may do better
	unsent   bool          // no byte of the request left this VM
	retry    time.Duration // with a refusal: when the caller may come back
	ans      *answer
	end      pool.EndState
	close    func() // ends the attempt on the wire and gives the slot back
}

func failed(code result.Code, end pool.EndState, format string, args ...any) *outcome {
	return &outcome{code: code, end: end, detail: result.Errorf(code, format, args...).Detail}
}

func notRun(code result.Code, end pool.EndState, format string, args ...any) *outcome {
	o := failed(code, end, format, args...)
	o.notRun = true
	return o
}

func (o *outcome) retryable() *outcome {
	o.again = true
	return o
}

// run dispatches the request, with repeats where they are allowed: on another
// server, within the deadline and the budget, and only for idempotent work or after
// proof of not run. The caller of run must pass the outcome to answer.
func (x *exchange) run() *outcome {
	base := x.ctx
	if !x.route.Route.Idempotent {
		base = context.WithoutCancel(base)
	}
	var tried []fleet.ServerID
	var best *outcome
	sent := 0 // attempts of which a byte may have reached a server
	for try := 0; ; try++ {
		d := x.acquire(sent, tried)
		if d.Code != result.OK {
			x.steps = append(x.steps, step{basis: d.Basis, at: time.Since(x.begun), code: d.Code})
			if best != nil { // why the earlier attempt failed says more than the lack of another server
				best.retry = max(best.retry, d.Retry)
				return best
			}
			out := notRun(d.Code, 0, "no slot at a server of %s", x.route.Route.Service)
			out.retry = d.Retry
			return out
		}
		at := time.Since(x.begun)
		out := x.attempt(base, d)
		x.steps = append(x.steps, step{server: d.Server.ID, trial: d.Trial, basis: d.Basis, at: at,
			took: time.Since(x.begun) - at, end: out.end, status: out.status(), code: out.code})
		best = better(best, out)
		if !out.unsent {
			sent++
		}
		if !x.mayRepeat(out, sent, try) {
			return best
		}
		if sent > 0 && !x.p.engine.MayRetry(x.route.Route.Service) {
			if best.declined {
				best.code = result.RetryBudgetSpent
			}
			return best
		}
		tried = append(tried, d.Server.ID)
		x.p.engine.Record(fleet.Event{Kind: eventRetry, Service: x.route.Route.Service, Server: d.Server.ID, Request: x.id,
			Reason: out.code.String(), Detail: map[string]string{"detail": out.detail}})
	}
}

// better keeps what says most about the request over several attempts. An attempt
// that may have run is never covered by a later proof of not run.
func better(old, now *outcome) *outcome {
	switch {
	case old == nil:
		return now
	case now.ans != nil:
		old.dispose()
		return now
	case old.ans != nil || !old.notRun && now.notRun:
		return old
	case old.declined && now.notRun:
		return old
	}
	return now
}

// status returns the status of the server's answer, 0 without one.
func (o *outcome) status() int {
	if o.ans == nil {
		return 0
	}
	return o.ans.status
}

// bytes returns the size of the answer's body as far as it is in memory.
func (o *outcome) bytes() int {
	if o.ans == nil {
		return 0
	}
	return len(o.ans.body)
}

// dispose drops an answer that is not passed on.
func (o *outcome) dispose() {
	if o.ans != nil && o.close != nil {
		o.close()
	}
}

// mayRepeat reports whether the request may go to another server. Attempts that sent
// nothing have a bound of their own beyond the route's.
func (x *exchange) mayRepeat(out *outcome, sent, try int) bool {
	switch {
	case try >= x.route.Route.Retries+x.p.limits.UnsentAttempts:
		return false
	case !out.again, !x.body.whole, x.left() <= 0, x.callerGone():
		return false
	case out.ans != nil && !out.ans.whole: // it is being streamed
		return false
	case sent > x.route.Route.Retries:
		if out.declined {
			out.code = result.ServersDeclined
		}
		return false
	}
	return out.notRun || x.route.Route.Idempotent
}

// acquire waits for a slot at a server.
func (x *exchange) acquire(sent int, tried []fleet.ServerID) pool.Decision {
	ctx, span := x.p.tracer.Start(x.ctx, "queue")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, x.left())
	defer cancel()
	d := x.p.engine.Acquire(ctx, pool.Work{
		ID:         x.p.engine.NextWork(),
		Service:    x.route.Route.Service,
		Route:      x.route.Name,
		Length:     x.route.Route.Length,
		Weight:     x.weight,
		Deadline:   x.deadline,
		Idempotent: x.route.Route.Idempotent,
		Objective:  time.Duration(x.route.Route.Objective) - time.Since(x.begun),
		Priority:   x.route.Route.Priority,
		Repeats:    max(0, x.route.Route.Retries-sent),
		Bytes:      len(x.body.buffered),
		Request:    x.id,
		IsRetry:    sent > 0,
		Exclude:    tried,
	})
	if d.Code == result.CallerGone && !x.callerGone() {
		d.Code = result.DeadlineInQueue
	}
	x.p.metrics.wait.Update(d.Queued.Seconds())
	if span.IsRecording() {
		span.SetAttributes(attribute.String("fulmar.server", string(d.Server.ID)), attribute.Int("fulmar.code", int(d.Code)))
	}
	return d
}

// attempt runs the request once on the server of d. The slot is given back before
// it returns, except for an answer that is still being streamed: then close does it.
func (x *exchange) attempt(base context.Context, d pool.Decision) *outcome {
	start := x.p.engine.Now()
	ctx, span := x.p.tracer.Start(base, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	ctx, cancel := context.WithTimeout(ctx, x.left())
	rt, unuse := x.p.transports.get(d.Server)

	out := &outcome{}
	closed := false
	finish := func() {
		if closed {
			return
		}
		closed = true
		cancel()
		x.body.abandon()
		unuse()
		x.p.engine.Release(d.Work, pool.End{State: out.end, Duration: x.p.engine.Now().Sub(start), Bytes: out.bytes(), Sent: !out.unsent})
		x.p.metrics.attempt(x.route.Route.Service, out.end)
		if span.IsRecording() {
			span.SetAttributes(attribute.String("fulmar.server", string(d.Server.ID)), attribute.String("fulmar.end", endName(out.end)))
		}
		span.End()
	}
	defer func() {
		// A panic on the way must not keep the slot.
		if out.ans == nil || out.ans.whole {
			finish()
		}
	}()
	out.end = pool.EndAbandoned
	*out = *x.exchangeOnce(ctx, rt, d.Server)
	out.close = finish
	return out
}

// exchangeOnce sends the request and classifies what comes back. A reused connection
// that turns out to be dead before the first byte is replaced within the attempt:
// the server saw nothing.
func (x *exchange) exchangeOnce(ctx context.Context, rt *http.Transport, s fleet.Server) *outcome {
	for tries := 0; ; tries++ {
		sentID := x.id
		if !x.p.dialect.OwnID {
			sentID = x.p.ids.attemptID(x.id)
		}
		f := &flight{mayStart: x.mayStart}
		resp, err := rt.RoundTrip(x.request(ctx, f, s, sentID))
		if err == nil {
			return x.classify(ctx, f, resp, sentID)
		}
		started := f.seal()
		refusal := f.refusal()
		if f.deadConn() && ctx.Err() == nil && x.body.untouched() && tries <= x.p.limits.ConnsPerServer {
			continue
		}
		if started {
			return x.classifyLost(ctx, f, err)
		}
		out := x.classifyUnsent(ctx, f, refusal, err)
		out.unsent = true
		return out
	}
}

// mayStart is the last check before the first byte of the request leaves.
func (x *exchange) mayStart() error {
	now := x.p.engine.Now()
	if x.dispatchBy != 0 && now > x.dispatchBy {
		return result.Errorf(result.DispatchTooLate, "the key's dispatch limit passed %s ago", now.Sub(x.dispatchBy))
	}
	if now > x.deadline {
		return result.Errorf(result.DeadlineInQueue, "the deadline passed before dispatch")
	}
	return nil
}

// request builds the request to the server.
func (x *exchange) request(ctx context.Context, f *flight, s fleet.Server, sentID string) *http.Request {
	trailer := endToEnd(x.r.Trailer)
	body, length := x.body.reader(trailer)
	header := x.serverHeader(sentID, s)
	if !x.p.dialect.Plain {
		injectTrace(header, func(c propagation.TextMapCarrier) { propagator.Inject(ctx, c) })
	}
	u := &url.URL{Scheme: "http", Host: s.Addr, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath,
		RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery}
	req := &http.Request{
		Method: x.r.Method, URL: u, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: header, Body: body, ContentLength: length,
	}
	if len(trailer) > 0 && length != 0 {
		req.Trailer, req.ContentLength = trailer, -1 // trailers need the chunked coding
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { f.gotConn(i.Conn, i.Reused) },
		GotFirstResponseByte: f.firstResponseByte,
		PutIdleConn:          f.putIdle,
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			x.out.informational(f, status, http.Header(h))
			return nil
		},
	}))
}

// classifyUnsent classifies an attempt of which no byte left.
func (x *exchange) classifyUnsent(ctx context.Context, f *flight, refusal, err error) *outcome {
	var late *result.Error
	switch {
	case errors.As(refusal, &late):
		return notRun(late.Code, pool.EndAbandoned, "%s", late.Detail)
	case refusal == errStrayBytes:
		return notRun(result.ServerUnreachable, pool.EndFailed, "%v", refusal).retryable()
	case refusal != nil:
		return notRun(result.ServerUnreachable, pool.EndAbandoned, "%v", refusal).retryable()
	case x.callerGone():
		return notRun(result.CallerGone, pool.EndAbandoned, "the caller left before dispatch")
	case x.body.failure() != nil:
		return notRun(x.bodyError(x.body.failure()).Code, pool.EndAbandoned, "body: %v", x.body.failure())
	case f.deadConn():
		return notRun(result.ServerUnreachable, pool.EndAbandoned, "%v", err).retryable()
	case ctx.Err() != nil:
		return notRun(result.ServerUnreachable, pool.EndUnreachable, "no connection before the deadline")
	}
	return notRun(result.ServerUnreachable, pool.EndUnreachable, "%v", err).retryable()
}

// classifyLost classifies an attempt that failed after a byte left: the server may
// have run it.
func (x *exchange) classifyLost(ctx context.Context, f *flight, err error) *outcome {
	var ne net.Error
	switch {
	case f.refusal() == errReplay:
		x.p.metrics.replays.Inc()
	case x.body.failure() != nil:
		return failed(result.AnswerLost, pool.EndAbandoned, "the caller's body failed after dispatch: %v", x.body.failure())
	}
	if out := x.interrupted(ctx); out != nil {
		return out
	}
	switch {
	case f.stale.Load():
		return x.crossed("bytes of another answer were on the connection")
	case f.read.Load() == 0:
		return failed(result.AnswerLost, pool.EndFailed, "%v", err).retryable()
	case f.ended.Load(), errors.As(err, &ne):
		return failed(result.AnswerTruncated, pool.EndFailed, "%v", err).retryable()
	}
	return failed(result.AnswerMalformed, pool.EndFailed, "%v", err).retryable()
}

// interrupted returns the outcome of work that the caller or the deadline ended.
func (x *exchange) interrupted(ctx context.Context) *outcome {
	switch {
	case ctx.Err() == nil:
		return nil
	case x.left() <= 0 || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failed(result.DeadlinePassed, pool.EndTimeout, "no whole answer before the deadline")
	}
	return failed(result.CancelledRunning, pool.EndAbandoned, "the caller left")
}

func (x *exchange) crossed(why string) *outcome {
	x.p.metrics.stale.Inc()
	x.p.engine.Record(fleet.Event{Kind: eventCrossed, Service: x.route.Route.Service, Request: x.id, Reason: why})
	return failed(result.AnswerCrossed, pool.EndFailed, "%s", why).retryable()
}

// classify looks at an answer's head and, when its length is known and small, reads
// it whole.
func (x *exchange) classify(ctx context.Context, f *flight, resp *http.Response, sentID string) *outcome {
	drop := func(o *outcome) *outcome {
		f.distrust()
		resp.Body.Close()
		return o
	}
	decline := func(end pool.EndState, detail string) *outcome {
		// Reading a short body to its end keeps the connection usable.
		_, _ = io.CopyN(io.Discard, resp.Body, declinedBody)
		resp.Body.Close()
		o := notRun(result.ServersDeclined, end, "%s", detail).retryable()
		o.declined = true
		return o
	}
	if f.stale.Load() {
		return drop(x.crossed("the answer was on the connection before the request"))
	}
	if resp.StatusCode < 200 {
		return drop(failed(result.AnswerMalformed, pool.EndFailed, "unexpected status %d", resp.StatusCode))
	}
	if echo := x.service.EchoHeader; echo != "" {
		if v := resp.Header.Values(echo); len(v) != 1 || v[0] != sentID {
			return drop(x.crossed("the echoed request id differs"))
		}
	}
	switch {
	case x.p.dialect.shed(resp):
		return decline(pool.EndShed, "the server shed the request")
	case x.p.dialect.declined(resp):
		return decline(pool.EndDraining, "the server declined the request")
	}
	if reason := x.unproven(resp); reason != "" {
		return drop(failed(result.AnswerMalformed, pool.EndFailed, "%s", reason).retryable())
	}
	a := newAnswer(x, resp)
	if a.unbounded() && !x.service.CloseDelimited {
		return drop(failed(result.AnswerUnbounded, pool.EndFailed, "the answer has neither length nor chunked coding"))
	}
	if out := x.gather(ctx, a); out != nil {
		return drop(out)
	}
	return &outcome{code: result.OK, ans: a, end: a.end(), again: retryStatus(a.status)}
}

// unproven returns why a successful answer cannot be the server's own, or nothing.
func (x *exchange) unproven(resp *http.Response) string {
	d := x.p.dialect
	if d.Signature != "" && resp.StatusCode < 300 && resp.Header.Get(d.Signature) == "" {
		return "the answer lacks the server's signature"
	}
	if !d.Encoded && resp.Header.Get("Content-Encoding") != "" {
		return "the answer has a content encoding that was not asked for"
	}
	return ""
}

// retryStatus reports whether another server may answer better.
func retryStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// truncated classifies an answer whose body failed.
func (x *exchange) truncated(ctx context.Context, err error) *outcome {
	if out := x.interrupted(ctx); out != nil {
		return out
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return failed(result.DeadlinePassed, pool.EndTimeout, "%v", err)
	}
	return failed(result.AnswerTruncated, pool.EndFailed, "%v", err).retryable()
}

// contentLength formats a length for the header.
func contentLength(n int64) []string { return []string{strconv.FormatInt(n, 10)} }
