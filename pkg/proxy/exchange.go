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
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Bounds of header values that the proxy interprets.
const (
	maxKeyLength       = 255 // bytes of an Idempotency-Key
	maxRequestIDLength = 128 // bytes of a caller's X-Request-Id
	maxWorkspaceLength = 128 // bytes of a workspace header
)

var propagator = propagation.TraceContext{}

// exchange is one request of a caller on its way through the proxy.
type exchange struct {
	p     *Proxy
	w     http.ResponseWriter
	r     *http.Request
	ctl   *http.ResponseController
	span  trace.Span
	ctx   context.Context // carries the span; ends when the caller leaves
	begun time.Time
	id    string // the caller's request id, or one made here

	route     document.RouteMatch
	service   document.Service
	workspace string // as the caller named it
	known     string // the workspace when the document holds it, else empty
	weight    float64
	deadline  fleet.Time
	body      *requestBody

	keyChecked bool // the key's record was looked up
	key        string
	dispatchBy fleet.Time // limit of the key reservation; 0 without one

	out    informer // informational answers and the commit of the final one
	code   result.Code
	status int

	retryAfter time.Duration // advice with a refusal; 0 means the default

	steps    []step // decisions, for the log
	revision uint64 // of the document that decided
	allowed  time.Duration
	detail   string
}

func (p *Proxy) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := p.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	x := &exchange{
		p: p, w: w, r: r, ctl: http.NewResponseController(w), ctx: ctx, span: span,
		begun: time.Now(), id: p.requestID(r),
	}
	x.out.x = x
	if span.IsRecording() {
		span.SetAttributes(attribute.String("http.request.method", r.Method), attribute.String("request.id", x.id))
	}
	return x
}

// done ends the request's span and counts it.
func (x *exchange) done() {
	if x.body != nil {
		x.body.release()
	}
	x.p.metrics.request(x.route.Route.Service, x.code, time.Since(x.begun))
	x.tell()
	if x.span.IsRecording() {
		x.span.SetAttributes(attribute.Int("http.response.status_code", x.status), attribute.Int("fulmar.code", int(x.code)),
			attribute.String("fulmar.route", x.route.Name))
		if x.code != result.OK {
			x.span.SetStatus(codes.Error, x.code.String())
		}
	}
	x.span.End()
}

// serve takes the request from its form to its answer.
func (x *exchange) serve() {
	if err := x.admit(); err != nil {
		x.failErr(err)
		return
	}
	if x.key == "" {
		out := x.run()
		x.answer(out, nil)
		return
	}
	x.serveKeyed()
}

// admit checks the request and reads its body. Nothing has been sent to a server
// when it fails.
func (x *exchange) admit() *result.Error {
	if err := checkForm(x.r); err != nil {
		return err
	}
	table := x.p.table()
	if table == nil && x.p.limits.ReadyWait > 0 {
		table = x.awaitTable()
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
		x.route.Route.Service = x.p.engine.Split(match)
	}
	service, ok := table.Service(x.route.Route.Service)
	if !ok {
		return result.Errorf(result.NoServer, "service %s is not described", x.route.Route.Service)
	}
	x.service = service
	if err := x.readWorkspace(table); err != nil {
		return err
	}
	if err := x.readKey(); err != nil {
		return err
	}
	limit := time.Duration(match.Route.Deadline)
	orDefault(&limit, x.p.limits.DefaultDeadline)
	if waits, ok := x.p.dialect.callerDeadline(x.r.Header); ok {
		limit = min(limit, waits)
	}
	x.allowed = limit
	x.deadline = x.p.engine.Now().Add(limit)
	return x.readBody()
}

// awaitTable gives a VM that has just started a moment to get its document.
func (x *exchange) awaitTable() RouteTable {
	wait := x.p.limits.ReadyWait
	if waits, ok := x.p.dialect.callerDeadline(x.r.Header); ok {
		wait = min(wait, waits/readyShare)
	}
	ctx, cancel := context.WithTimeout(x.ctx, wait)
	defer cancel()
	x.p.engine.WaitReady(ctx)
	return x.p.table()
}

// readyShare is the part of a caller's time that may pass before the VM is ready.
const readyShare = 4

// requestID returns the caller's id of the request. Where servers see the caller's
// own id, a request without one keeps having none, and logs name it by a new one.
func (p *Proxy) requestID(r *http.Request) string {
	return p.ids.requestID(r.Header.Values(p.dialect.RequestID))
}

func (x *exchange) readWorkspace(table RouteTable) *result.Error {
	x.weight = x.route.Route.Weight
	orDefault(&x.weight, 1)
	name := x.route.Route.WorkspaceHeader
	if name == "" {
		return nil
	}
	values := x.r.Header.Values(name)
	if len(values) > 1 || len(values) == 1 && len(values[0]) > maxWorkspaceLength {
		return result.Errorf(result.BadRequest, "header %s is repeated or too long", name)
	}
	if len(values) == 0 {
		return nil
	}
	x.workspace = values[0]
	if ws, ok := table.Workspace(x.workspace); ok {
		x.known = x.workspace
		if ws.Weight != 0 {
			x.weight *= ws.Weight
		}
	}
	return nil
}

// readKey applies the route's key rule. On idempotent routes the header only passes
// through, since repeats are harmless there.
func (x *exchange) readKey() *result.Error {
	values := x.r.Header.Values("Idempotency-Key")
	if len(values) == 0 {
		if x.route.Route.Key == document.KeyRequired {
			return result.Errorf(result.KeyRequired, "route %s requires an Idempotency-Key", x.route.Name)
		}
		return nil
	}
	if x.route.Route.Idempotent || x.p.dialect.KeyPass {
		return nil
	}
	key := values[0]
	bad := func(r rune) bool { return r < 0x20 || r > 0x7e }
	if len(values) > 1 || key == "" || len(key) > maxKeyLength || strings.ContainsFunc(key, bad) {
		return result.Errorf(result.KeyInvalid, "an Idempotency-Key is one value of 1 to %d printable ASCII bytes", maxKeyLength)
	}
	x.key = key
	if x.workspace != "" && x.known == "" {
		// Once the document gets the workspace, its keys would be looked up at its home,
		// where the record of this request would not be found.
		return result.Errorf(result.WorkspaceUnknown, "workspace %q is not in the document", x.workspace)
	}
	return nil
}

// serveKeyed runs the request under a reservation of its key. Every reservation that
// allows the run is finished exactly once.
func (x *exchange) serveKeyed() {
	scope := keys.Scope{Workspace: x.workspace, Service: x.route.Route.Service, Key: x.key}
	ctx, span := x.p.tracer.Start(x.ctx, "reserve key")
	d := x.p.engine.Reserve(ctx, x.known, scope, x.fingerprint(), x.deadline)
	span.SetAttributes(attribute.Int("fulmar.code", int(d.Code)))
	span.End()
	x.keyChecked = true
	switch d.Verdict {
	case keys.VerdictReplay:
		x.replay(d.Answer)
		return
	case keys.VerdictRun:
	default:
		x.fail(d.Code, "key reservation refused")
		return
	}
	x.dispatchBy = d.DispatchBy
	state, kept := keys.FinishUnknown, (*keys.Answer)(nil)
	defer func() { x.p.engine.Finish(d.Reserve, state, kept) }()
	out := x.run()
	switch {
	case out.ans != nil:
		// The state is set before the answer is passed on: an abort towards the
		// caller must not turn a whole answer into an unknown one.
		x.answer(out, func(answer *keys.Answer) { state, kept = keys.FinishDone, answer })
		return
	case out.notRun:
		state = keys.FinishNotRun
	}
	x.answer(out, nil)
}

// replay passes on the kept answer of the first run.
func (x *exchange) replay(a *keys.Answer) {
	if a == nil {
		x.fail(result.KeyAnswerDropped, "the answer was not kept")
		return
	}
	h := make(http.Header, len(a.Header)+1)
	for k, v := range a.Header {
		h[k] = v
	}
	h.Set("Idempotent-Replayed", "true")
	if echo := x.service.EchoHeader; echo != "" {
		h.Set(echo, x.id)
	}
	x.deliver(&answer{status: a.Status, header: h, body: a.Body, length: int64(len(a.Body)), whole: true}, nil)
}

// left returns the time until the deadline.
func (x *exchange) left() time.Duration { return x.deadline.Sub(x.p.engine.Now()) }

// callerGone reports whether the caller closed its connection.
func (x *exchange) callerGone() bool { return x.r.Context().Err() != nil }
