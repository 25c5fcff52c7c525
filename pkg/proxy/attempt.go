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

// How much of the body is read, and for how long, if the server declined the request.
const (
	maxDeclinedBody     = 4 << 10
	declinedBodyTimeout = 20 * time.Millisecond
)

// maxInformational is the number of 1xx responses that are accepted for one request. http.Transport leaves
// the limit to its user.
const maxInformational = 16

var errInformational = errors.New("too many informational responses")

// outcome is the result of one attempt or of the whole request.
type outcome struct {
	code       result.Code // OK when response is to be sent to the caller
	detail     string
	notRun     bool          // proof that no server ran the request
	declined   bool          // a server stated that it did not run the request
	canRetry   bool          // another server may succeed
	unsent     bool          // no byte of the request was sent
	retryAfter time.Duration // with a refusal: suggested delay before a retry
	response   *response
	end        pool.EndState
	close      func() // ends the attempt and frees the slot
}

func failed(code result.Code, end pool.EndState, format string, args ...any) *outcome {
	return &outcome{code: code, end: end, detail: result.Errorf(code, format, args...).Detail}
}

func notRun(code result.Code, end pool.EndState, format string, args ...any) *outcome {
	o := failed(code, end, format, args...)
	o.notRun = true
	return o
}

func (o *outcome) allowRetry() *outcome {
	o.canRetry = true
	return o
}

// run dispatches the request and retries it where permitted: on another server, within the deadline
// and the retry budget, and only if the request is idempotent or provably did not run. The outcome
// must be passed to sendOutcome.
func (x *exchange) run() *outcome {
	base := x.ctx
	if !x.route.Route.Idempotent {
		base = context.WithoutCancel(base)
	}
	var tried []fleet.ServerID
	var best *outcome
	sent := 0 // attempts of which a byte may have reached a server
	if !x.finishesBeforeExit() {
		return notRun(result.Draining, 0, "%s", x.refuseForExit().Detail)
	}
	for try := 0; ; try++ {
		d := x.acquire(sent, tried)
		if d.Code != result.OK {
			x.attempts = append(x.attempts, attemptRecord{selection: d.Selection, at: time.Since(x.start), code: d.Code})
			if best != nil { // the earlier failure is more informative than the lack of another server
				best.retryAfter = max(best.retryAfter, d.RetryAfter)
				return best
			}
			out := notRun(d.Code, 0, "no slot available on a server of %s", x.route.Route.Service)
			out.retryAfter = d.RetryAfter
			return out
		}
		at, mayHaveRun := time.Since(x.start), x.mayHaveRun
		x.mayHaveRun = true // until the attempt proves otherwise, also if it panics
		out := x.attempt(base, d)
		x.mayHaveRun = mayHaveRun || !out.notRun
		x.attempts = append(x.attempts, attemptRecord{server: d.Server.ID, trial: d.Trial, selection: d.Selection, at: at,
			took: time.Since(x.start) - at, end: out.end, status: out.status(), code: out.code})
		best = preferredOutcome(best, out)
		if !out.unsent {
			sent++
		}
		if !x.mayRetry(out, sent, try) {
			return best
		}
		if sent > 0 && !x.p.engine.MayRetry(x.route.Route.Service) {
			if best.declined {
				best.code = result.RetryBudgetSpent
			}
			return best
		}
		tried = append(tried, d.Server.ID)
		x.p.engine.RecordEvent(fleet.Event{Kind: eventRetry, Service: x.route.Route.Service, Server: d.Server.ID, Request: x.id,
			Reason: out.code.String(), Detail: map[string]string{"detail": out.detail}})
	}
}

// preferredOutcome selects the more informative of the outcomes of two attempts and discards the other. An
// attempt that may have run takes precedence over later proof that the request did not run.
func preferredOutcome(old, latest *outcome) *outcome {
	switch {
	case old == nil:
		return latest
	case latest.response != nil:
		old.discard()
		return latest
	case old.response != nil || !old.notRun && latest.notRun:
		return old
	case old.declined && latest.notRun:
		return old
	}
	return latest
}

// status returns the status of the server's response, 0 without one.
func (o *outcome) status() int {
	if o.response == nil {
		return 0
	}
	return o.response.status
}

// bufferedBytes returns the size of the buffered part of the response body.
func (o *outcome) bufferedBytes() int {
	if o.response == nil {
		return 0
	}
	return len(o.response.body)
}

// discard ends an attempt whose response is not sent to the caller.
func (o *outcome) discard() {
	if o.response != nil && o.close != nil {
		o.close()
	}
}

// mayRetry reports whether the request may be sent to another server. Attempts that sent nothing have
// a limit of their own in addition to the route's.
func (x *exchange) mayRetry(out *outcome, sent, try int) bool {
	switch {
	case try >= x.route.Route.Retries+x.p.limits.MaxUnsentRetries:
		return false
	case !out.canRetry, !x.body.complete, x.remaining() <= 0, x.callerGone(), !x.finishesBeforeExit():
		return false
	case out.response != nil && !out.response.complete: // its body is streamed
		return false
	case sent > x.route.Route.Retries:
		if out.declined {
			out.code = result.ServersDeclined
		}
		return false
	}
	return out.notRun || x.route.Route.Idempotent
}

// acquire waits for a slot on a server.
func (x *exchange) acquire(sent int, tried []fleet.ServerID) pool.Decision {
	ctx, span := x.p.tracer.Start(x.ctx, "queue")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, x.remaining())
	defer cancel()
	d := x.p.engine.Acquire(ctx, pool.Work{
		ID:                x.p.engine.NewWorkID(),
		Service:           x.route.Route.Service,
		Route:             x.route.Name,
		Length:            x.route.Route.Length,
		Weight:            x.weight,
		Deadline:          x.deadline,
		Idempotent:        x.route.Route.Idempotent,
		LatencyObjective:  time.Duration(x.route.Route.LatencyObjective) - time.Since(x.start),
		Workspace:         x.knownWorkspace,
		WorkspacePriority: x.priority,
		Priority:          x.route.Route.Priority,
		MaxRetries:        max(0, x.route.Route.Retries-sent),
		Bytes:             len(x.body.buffered),
		RequestID:         x.id,
		IsRetry:           sent > 0,
		Exclude:           tried,
	})
	if d.Code == result.CallerGone && !x.callerGone() {
		d.Code = result.DeadlineInQueue
	}
	x.p.metrics.queueTime.Update(d.Queued.Seconds())
	if span.IsRecording() {
		span.SetAttributes(attribute.String("fulmar.server", string(d.Server.ID)), attribute.Int("fulmar.code", int(d.Code)))
	}
	return d
}

// attempt runs the request once on the server of d. It frees the slot before it returns, unless the
// response is still to be streamed: then outcome.close frees it.
func (x *exchange) attempt(base context.Context, d pool.Decision) *outcome {
	start := x.p.engine.Now()
	x.respondedAt, x.notice = 0, pool.ServerNotice{}
	ctx, span := x.p.tracer.Start(base, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	ctx, cancel := context.WithTimeout(ctx, x.remaining())
	rt, releaseTransport := x.p.transports.get(d.Server)

	out := &outcome{}
	finished := false
	finish := func() {
		if finished {
			return
		}
		finished = true
		cancel()
		x.body.interruptRead()
		releaseTransport()
		x.p.engine.Release(d.Work, pool.End{State: out.end, Duration: x.p.engine.Now().Sub(start), Bytes: out.bufferedBytes(), RequestSent: !out.unsent,
			RespondedAt: x.respondedAt, Notice: x.notice})
		x.p.metrics.attempt(x.route.Route.Service, out.end)
		if span.IsRecording() {
			span.SetAttributes(attribute.String("fulmar.server", string(d.Server.ID)), attribute.String("fulmar.end", endLabel(out.end)))
		}
		span.End()
	}
	defer func() {
		// A panic must not leak the slot.
		if out.response == nil || out.response.complete {
			finish()
		}
	}()
	out.end = pool.EndAbandoned
	*out = *x.roundTrip(ctx, rt, d)
	out.close = finish
	return out
}

// roundTrip sends the request and classifies the result. If a reused connection turns out to be dead
// before the first byte is written, the attempt continues on another one, because the server received
// nothing. All connections to the server may be dead, so more than Limits.MaxConnsPerServer are tried.
func (x *exchange) roundTrip(ctx context.Context, rt *http.Transport, d pool.Decision) *outcome {
	for tries := 0; ; tries++ {
		sentID := x.id
		if !x.p.dialect.KeepRequestID {
			sentID = x.p.ids.attemptID(x.id)
		}
		wire := &wireAttempt{checkDispatch: x.checkDispatch}
		resp, err := rt.RoundTrip(x.newServerRequest(ctx, wire, d.Server, sentID))
		if err == nil {
			return x.classifyResponse(ctx, wire, d.Work, resp, sentID)
		}
		started := wire.seal()
		refusal := wire.refusal()
		if wire.deadConn() && ctx.Err() == nil && x.body.replayable() && tries <= x.p.limits.MaxConnsPerServer {
			continue
		}
		if started {
			return x.classifySent(ctx, wire, err)
		}
		out := x.classifyUnsent(ctx, wire, refusal, err)
		out.unsent = true
		return out
	}
}

// checkDispatch is the last check before the first byte of the request is written.
func (x *exchange) checkDispatch() error {
	now := x.p.engine.Now()
	if x.dispatchDeadline != 0 && now > x.dispatchDeadline {
		return result.Errorf(result.DispatchTooLate, "the dispatch limit of the key reservation passed %s ago", now.Sub(x.dispatchDeadline))
	}
	if now > x.deadline {
		return result.Errorf(result.DeadlineInQueue, "the deadline passed before dispatch")
	}
	if !x.finishesBeforeExit() {
		return x.refuseForExit()
	}
	return nil
}

// newServerRequest returns the request to the server.
func (x *exchange) newServerRequest(ctx context.Context, wire *wireAttempt, s fleet.Server, sentID string) *http.Request {
	trailer := endToEndHeaders(x.r.Trailer)
	x.removeIdentity(trailer)
	body, length := x.body.reader(trailer)
	header := x.serverHeader(sentID, s)
	if !x.p.dialect.OmitProxyHeaders {
		injectTrace(header, func(c propagation.TextMapCarrier) { propagator.Inject(ctx, c) })
	}
	u := &url.URL{Scheme: "http", Host: s.Addr, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath,
		RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery}
	req := &http.Request{
		Method: x.r.Method, URL: u, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: header, Body: body, ContentLength: length,
	}
	if len(trailer) > 0 && length != 0 {
		req.Trailer, req.ContentLength = trailer, -1 // trailers require chunked transfer coding
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { wire.gotConn(i.Conn, i.Reused) },
		GotFirstResponseByte: wire.firstResponseByte,
		PutIdleConn:          wire.putIdle,
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if wire.informational.Add(1) > maxInformational {
				return errInformational
			}
			x.informational.forward(wire, status, http.Header(h))
			return nil
		},
	}))
}

// classifyUnsent classifies an attempt of which no byte was sent.
func (x *exchange) classifyUnsent(ctx context.Context, wire *wireAttempt, refusal, err error) *outcome {
	var late *result.Error
	switch {
	case errors.As(refusal, &late):
		return notRun(late.Code, pool.EndAbandoned, "%s", late.Detail)
	case refusal == errStrayBytes:
		return notRun(result.ServerUnreachable, pool.EndFailed, "%v", refusal).allowRetry()
	case refusal != nil:
		return notRun(result.ServerUnreachable, pool.EndAbandoned, "%v", refusal).allowRetry()
	case x.callerGone():
		return notRun(result.CallerGone, pool.EndAbandoned, "the caller disconnected before dispatch")
	case x.body.streamError() != nil:
		return notRun(x.bodyError(x.body.streamError()).Code, pool.EndAbandoned, "body: %v", x.body.streamError())
	case wire.deadConn():
		return notRun(result.ServerUnreachable, pool.EndAbandoned, "%v", err).allowRetry()
	case ctx.Err() != nil:
		return notRun(result.ServerUnreachable, pool.EndUnreachable, "no connection before the deadline")
	}
	return notRun(result.ServerUnreachable, pool.EndUnreachable, "%v", err).allowRetry()
}

// classifySent classifies an attempt that failed after its first byte was sent: the server may have
// run it.
func (x *exchange) classifySent(ctx context.Context, wire *wireAttempt, err error) *outcome {
	var ne net.Error
	switch {
	case wire.refusal() == errReplay:
		x.p.metrics.refusedReplays.Inc()
	case x.body.streamError() != nil:
		return failed(result.AnswerLost, pool.EndAbandoned, "the caller's body failed after dispatch: %v", x.body.streamError())
	}
	if out := x.interrupted(ctx); out != nil {
		return out
	}
	switch {
	case wire.strayResponse.Load():
		return x.crossedResponse("bytes of another response were on the connection")
	case wire.readBytes.Load() == 0:
		return failed(result.AnswerLost, pool.EndFailed, "%v", err).allowRetry()
	case wire.ended.Load(), errors.As(err, &ne):
		return failed(result.AnswerTruncated, pool.EndFailed, "%v", err).allowRetry()
	}
	return failed(result.AnswerMalformed, pool.EndFailed, "%v", err).allowRetry()
}

// interrupted returns the outcome of an attempt that ended because the caller disconnected or the
// deadline passed, otherwise nil.
func (x *exchange) interrupted(ctx context.Context) *outcome {
	switch {
	case ctx.Err() == nil:
		return nil
	case x.remaining() <= 0 || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failed(result.DeadlinePassed, pool.EndTimeout, "no complete response before the deadline")
	}
	return failed(result.CancelledRunning, pool.EndAbandoned, "the caller left")
}

// crossedResponse records and returns the outcome of an attempt whose response belongs to another request.
func (x *exchange) crossedResponse(reason string) *outcome {
	x.p.metrics.strayResponses.Inc()
	x.p.engine.RecordEvent(fleet.Event{Kind: eventCrossed, Service: x.route.Route.Service, Request: x.id, Reason: reason})
	return failed(result.AnswerCrossed, pool.EndFailed, "%s", reason).allowRetry()
}

// classifyResponse checks the response header and buffers the start of the body, or all of it if its
// length is known and small.
func (x *exchange) classifyResponse(ctx context.Context, wire *wireAttempt, id pool.WorkID, resp *http.Response, sentID string) *outcome {
	drop := func(o *outcome) *outcome {
		wire.closeUntrusted()
		resp.Body.Close()
		return o
	}
	decline := func(end pool.EndState, detail string) *outcome {
		if x.service.EchoHeader == "" {
			// A copy of this refusal would pass for that of the next request on the connection.
			if wire.onUntrustedConn() {
				return drop(x.crossedResponse("the refusal may be a copy of an earlier one"))
			}
			wire.closeUntrusted()
		}
		discardShortBody(resp)
		o := notRun(result.ServersDeclined, end, "%s", detail).allowRetry()
		o.declined = true
		return o
	}
	if wire.strayResponse.Load() {
		return drop(x.crossedResponse("the response was received before the request was sent"))
	}
	if resp.StatusCode < 200 {
		return drop(failed(result.AnswerMalformed, pool.EndFailed, "unexpected status %d", resp.StatusCode))
	}
	if echo := x.service.EchoHeader; echo != "" {
		if v := resp.Header.Values(echo); len(v) != 1 || v[0] != sentID {
			return drop(x.crossedResponse("the echoed request id differs"))
		}
	}
	x.reportNotice(id, resp)
	switch {
	case x.p.dialect.shed(resp):
		return decline(pool.EndShed, "the server shed the request")
	case x.p.dialect.declined(resp):
		return decline(pool.EndDraining, "the server declined the request")
	}
	if len(resp.Trailer) > maxTrailers {
		return drop(failed(result.AnswerMalformed, pool.EndFailed, "the response announces %d trailers", len(resp.Trailer)).allowRetry())
	}
	if reason := x.untrustedReason(resp); reason != "" {
		return drop(failed(result.AnswerMalformed, pool.EndFailed, "%s", reason).allowRetry())
	}
	res := newResponse(x, resp)
	if res.closeDelimited() && !x.service.CloseDelimited {
		return drop(failed(result.AnswerUnbounded, pool.EndFailed, "the response has neither Content-Length nor chunked transfer coding"))
	}
	if out := x.bufferStart(ctx, res); out != nil {
		return drop(out)
	}
	return &outcome{code: result.OK, response: res, end: res.endState(), canRetry: isRetryableStatus(res.status)}
}

// discardShortBody reads a short body to its end, which keeps the connection reusable. It closes the connection
// if the end does not arrive soon, so that the caller does not wait for it.
func discardShortBody(resp *http.Response) {
	defer resp.Body.Close()
	if resp.ContentLength > maxDeclinedBody {
		return
	}
	stop := time.AfterFunc(declinedBodyTimeout, func() { resp.Body.Close() })
	defer stop.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDeclinedBody+1)
}

// untrustedReason returns why a response cannot be trusted, or "" if it can. Only successful responses must be
// signed.
func (x *exchange) untrustedReason(resp *http.Response) string {
	d := x.p.dialect
	if d.Signature != "" && resp.StatusCode < 300 && resp.Header.Get(d.Signature) == "" {
		return "the response lacks the server's signature"
	}
	if !d.AllowContentEncoding && resp.Header.Get("Content-Encoding") != "" {
		return "the response has a content encoding that was not requested"
	}
	return ""
}

// isRetryableStatus reports whether another server may return a better response.
func isRetryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// truncated classifies a response whose body could not be read to its end.
func (x *exchange) truncated(ctx context.Context, err error) *outcome {
	if out := x.interrupted(ctx); out != nil {
		return out
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return failed(result.DeadlinePassed, pool.EndTimeout, "%v", err)
	}
	return failed(result.AnswerTruncated, pool.EndFailed, "%v", err).allowRetry()
}

// contentLength formats n as a Content-Length value.
func contentLength(n int64) []string { return []string{strconv.FormatInt(n, 10)} }
