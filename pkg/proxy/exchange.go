package proxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Limits of header values that the proxy interprets.
const (
	maxKeyLength       = 255 // bytes of an Idempotency-Key
	maxRequestIDLength = 128 // bytes of a caller's X-Request-Id
	maxWorkspaceLength = 128 // bytes of a workspace header
)

var propagator = propagation.TraceContext{}

// exchange is the state of one request of a caller and its response.
type exchange struct {
	p     *Proxy
	w     http.ResponseWriter
	r     *http.Request
	ctl   *http.ResponseController
	span  trace.Span
	ctx   context.Context // carries the span; cancelled when the caller disconnects
	start time.Time
	id    string // the caller's request ID, or a generated one

	route          document.RouteMatch
	service        document.Service
	workspace      string         // of the API key, or as named by the caller if the document requires no keys
	knownWorkspace string         // the workspace if the document contains it, otherwise empty
	quota          document.Quota // of the workspace
	priority       int            // of the workspace; 0 is the most urgent
	requiresKeys   bool           // the document requires API keys
	quotaTaken     bool           // TakeQuota admitted the request
	mayHaveRun     bool           // a server may have run the request
	weight         float64
	deadline       fleet.Time
	body           *requestBody

	keyChecked       bool // the key has been looked up
	key              string
	dispatchDeadline fleet.Time // limit of the key reservation; 0 without one

	informational informationalWriter // forwards 1xx responses until the final response starts
	code          result.Code
	status        int

	retryAfter time.Duration // delay suggested with a refusal; 0 means the default

	// Of the latest attempt; zero without a response.
	respondedAt fleet.Time // when the header of the response was read
	notice      pool.ServerNotice

	attempts []attemptRecord // for the log
	revision uint64          // of the document that the request was routed with
	timeout  time.Duration   // from the routing of the request to its deadline
	detail   string          // of the error response
}

func (p *Proxy) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := p.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	x := &exchange{
		p: p, w: w, r: r, ctl: http.NewResponseController(w), ctx: ctx, span: span,
		start: time.Now(), id: p.requestID(r),
	}
	x.informational.x = x
	if span.IsRecording() {
		span.SetAttributes(attribute.String("http.request.method", r.Method), attribute.String("request.id", x.id))
	}
	return x
}

// finish records the request's log line, metrics and span.
func (x *exchange) finish() {
	if x.body != nil {
		x.body.releaseBuffer()
	}
	x.returnQuota()
	x.p.metrics.request(x.route.Route.Service, x.code, time.Since(x.start))
	x.logRequest()
	if x.span.IsRecording() {
		x.span.SetAttributes(attribute.Int("http.response.status_code", x.status), attribute.Int("fulmar.code", int(x.code)),
			attribute.String("fulmar.route", x.route.Name))
		if x.code != result.OK {
			x.span.SetStatus(codes.Error, x.code.String())
		}
	}
	x.span.End()
}

// serve handles the request from validation to response.
func (x *exchange) serve() {
	if err := x.admit(); err != nil {
		x.failError(err)
		return
	}
	if x.key == "" {
		out := x.run()
		x.sendOutcome(out, nil)
		return
	}
	x.serveKeyed()
}

// admit validates and routes the request and buffers the start of its body. If it fails, nothing has been
// sent to a server.
func (x *exchange) admit() *result.Error {
	if err := checkRequest(x.r); err != nil {
		return err
	}
	table := x.p.routeTable()
	if table == nil && x.p.limits.ReadyTimeout > 0 {
		table = x.waitForRouteTable()
	}
	if table == nil {
		return result.Errorf(result.NotReady, "no configuration yet")
	}
	if index, ok := table.(*document.Index); ok {
		x.revision = index.Revision
	}
	match, code := table.Route(x.r.Host, x.r.URL.Path, x.r.Method)
	if code != result.OK {
		return result.Errorf(code, "%s %s", x.r.Method, x.r.URL.Path)
	}
	x.route = match
	if len(match.Route.Backends) > 0 {
		x.route.Route.Service = x.p.engine.SelectBackend(match)
	}
	service, ok := table.Service(x.route.Route.Service)
	if !ok {
		return result.Errorf(result.NoServer, "service %s is not configured", x.route.Route.Service)
	}
	x.service = service
	if err := x.readWorkspace(table); err != nil {
		return err
	}
	if err := x.takeQuota(); err != nil {
		return err
	}
	if err := x.readIdempotencyKey(); err != nil {
		return err
	}
	timeout := time.Duration(match.Route.Deadline)
	orDefault(&timeout, x.p.limits.DefaultDeadline)
	if callerTimeout, ok := x.p.dialect.callerTimeout(x.r.Header); ok {
		timeout = min(timeout, callerTimeout)
	}
	x.timeout = timeout
	x.deadline = x.p.engine.Now().Add(timeout)
	if !x.finishesBeforeExit() {
		return x.refuseForExit()
	}
	return x.readBody()
}

// waitForRouteTable waits up to Limits.ReadyTimeout for the first document after the VM started. It returns nil if
// there is still none.
func (x *exchange) waitForRouteTable() RouteTable {
	wait := x.p.limits.ReadyTimeout
	if callerTimeout, ok := x.p.dialect.callerTimeout(x.r.Header); ok {
		wait = min(wait, callerTimeout/readyWaitDivisor)
	}
	ctx, cancel := context.WithTimeout(x.ctx, wait)
	defer cancel()
	x.p.engine.WaitReady(ctx)
	return x.p.routeTable()
}

// readyWaitDivisor limits the wait for the first document to 1/readyWaitDivisor of the caller's timeout.
const readyWaitDivisor = 4

// requestID returns the ID under which the request is logged: the caller's, or a generated one.
func (p *Proxy) requestID(r *http.Request) string {
	return p.ids.requestID(r.Header.Values(p.dialect.RequestID))
}

// readIdempotencyKey applies the route's key rule. On idempotent routes the key is only forwarded,
// because repeating the request is harmless.
func (x *exchange) readIdempotencyKey() *result.Error {
	values := x.r.Header.Values("Idempotency-Key")
	if len(values) == 0 {
		if x.route.Route.Key == document.KeyRequired {
			return result.Errorf(result.KeyRequired, "route %s requires an Idempotency-Key", x.route.Name)
		}
		return nil
	}
	if x.route.Route.Idempotent || x.p.dialect.ForwardIdempotencyKey {
		return nil
	}
	key := values[0]
	bad := func(r rune) bool { return r < 0x20 || r > 0x7e }
	if len(values) > 1 || key == "" || len(key) > maxKeyLength || strings.ContainsFunc(key, bad) {
		return result.Errorf(result.KeyInvalid, "an Idempotency-Key is one value of 1 to %d printable ASCII bytes", maxKeyLength)
	}
	x.key = key
	if x.workspace != "" && x.knownWorkspace == "" {
		// If the workspace were added to the document later, its keys would be looked up in its home
		// region, which has no record of this request.
		return result.Errorf(result.WorkspaceUnknown, "workspace %q is not configured", x.workspace)
	}
	return nil
}

// serveKeyed runs the request under a reservation of its key. Every reservation that permits the run
// is finished exactly once.
func (x *exchange) serveKeyed() {
	scope := keys.Scope{Workspace: x.workspace, Service: x.route.Route.Service, Key: x.key}
	ctx, span := x.p.tracer.Start(x.ctx, "reserve key")
	d := x.p.engine.Reserve(ctx, x.knownWorkspace, scope, x.fingerprint(), x.deadline)
	span.SetAttributes(attribute.Int("fulmar.code", int(d.Code)))
	span.End()
	x.keyChecked = true
	switch d.Verdict {
	case keys.VerdictReplay:
		x.replay(d.Response)
		return
	case keys.VerdictRun:
	default:
		x.fail(d.Code, "the key reservation was refused")
		return
	}
	x.dispatchDeadline = d.DispatchBy
	finishResult, stored := keys.FinishUnknown, (*keys.StoredResponse)(nil)
	defer func() { x.p.engine.FinishReservation(d.Reservation, finishResult, stored) }()
	out := x.run()
	switch {
	case out.response != nil:
		// finishResult is set before the response is sent: a failure to reach the caller must not turn
		// a complete response into an unknown outcome.
		x.sendOutcome(out, func(resp *keys.StoredResponse) { finishResult, stored = keys.FinishDone, resp })
		return
	case out.notRun:
		finishResult = keys.FinishNotRun
	}
	x.sendOutcome(out, nil)
}

// replay sends the stored response of the first run.
func (x *exchange) replay(stored *keys.StoredResponse) {
	if stored == nil {
		x.fail(result.KeyAnswerDropped, "the response was not stored")
		return
	}
	h := make(http.Header, len(stored.Header)+1)
	for k, v := range stored.Header {
		h[k] = v
	}
	h.Set("Idempotent-Replayed", "true")
	if echo := x.service.EchoHeader; echo != "" {
		h.Set(echo, x.id)
	}
	x.sendComplete(&response{status: stored.Status, header: h, body: stored.Body, length: int64(len(stored.Body)), complete: true}, nil)
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return x.deadline.Sub(x.p.engine.Now()) }

// callerGone reports whether the caller closed its connection.
func (x *exchange) callerGone() bool { return x.r.Context().Err() != nil }
