package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

const (
	copyBuffer     = 32 << 10 // bytes moved at once while streaming
	headerOverhead = 64       // bytes counted for each header of a kept answer beyond its text
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// answer is a server's answer on its way to the caller.
type answer struct {
	status   int
	header   http.Header // without hop-by-hop and internal headers
	length   int64       // -1 when unknown
	body     []byte      // the whole body, or the part read before the head was passed on
	whole    bool        // body is complete and verified
	noBody   bool        // HEAD, 204, 304
	draining bool        // the server says that it is leaving
	resp     *http.Response
	ctx      context.Context
}

func newAnswer(x *exchange, resp *http.Response) *answer {
	a := &answer{status: resp.StatusCode, header: endToEnd(resp.Header), length: resp.ContentLength, resp: resp}
	a.draining = x.p.dialect.Draining != "" && resp.Header.Get(x.p.dialect.Draining) != ""
	a.noBody = x.r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if echo := x.service.EchoHeader; echo != "" {
		a.header.Set(echo, x.id) // the caller knows its own id
	}
	return a
}

// unbounded reports whether only the end of the connection ends the body.
func (a *answer) unbounded() bool {
	return !a.noBody && a.length < 0 && len(a.resp.TransferEncoding) == 0
}

func (a *answer) end() pool.EndState {
	switch {
	case a.status >= 500:
		return pool.EndFailed
	case a.draining:
		return pool.EndDraining
	case a.status >= 400:
		return pool.EndCallerError
	}
	return pool.EndOK
}

// gather reads what is needed before the head may be passed on: the whole body when
// it is small, else its first bytes. It returns the failure, or nil.
func (x *exchange) gather(ctx context.Context, a *answer) *outcome {
	a.ctx = ctx
	if a.noBody || a.length == 0 {
		a.resp.Body.Close()
		a.whole = true
		return nil
	}
	if a.length > 0 && a.length <= int64(x.p.limits.AnswerBody) {
		a.body = make([]byte, a.length)
		if _, err := io.ReadFull(a.resp.Body, a.body); err != nil {
			return x.truncated(ctx, err)
		}
		a.whole = true
		return x.closeWhole(ctx, a)
	}
	if !x.r.ProtoAtLeast(1, 1) && a.length < 0 {
		return x.gatherOld(ctx, a)
	}
	if x.p.limits.BufferUnsized && a.length < 0 {
		return x.gatherUnsized(ctx, a)
	}
	first := make([]byte, 4<<10)
	n, err := a.resp.Body.Read(first)
	a.body = first[:n]
	switch {
	case err == io.EOF:
		a.whole, a.length = len(a.resp.Trailer) == 0, -1
		if a.whole {
			a.length = int64(n)
		}
	case err != nil:
		return x.truncated(ctx, err)
	}
	return nil
}

// closeWhole reads the end of a body whose bytes are complete, which lets the
// transport use the connection again.
func (x *exchange) closeWhole(ctx context.Context, a *answer) *outcome {
	var b [1]byte
	if n, err := a.resp.Body.Read(b[:]); n != 0 || err != io.EOF {
		return x.truncated(ctx, errors.Errorf("no end after %d bytes: %v", a.length, err))
	}
	a.resp.Body.Close()
	return nil
}

// gatherUnsized reads an answer without length up to the limit, so that one that ends
// early can still become a failure or be repeated. The rest of a longer one is
// streamed.
func (x *exchange) gatherUnsized(ctx context.Context, a *answer) *outcome {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, int64(x.p.limits.AnswerBody)))
	if err != nil {
		return x.truncated(ctx, err)
	}
	a.body = body
	if len(body) < x.p.limits.AnswerBody && len(a.resp.Trailer) == 0 {
		a.resp.Body.Close()
		a.whole, a.length = true, int64(len(body))
	}
	return nil
}

// gatherOld reads an answer without length whole for an HTTP/1.0 caller, which could
// not tell an aborted answer from a complete one.
func (x *exchange) gatherOld(ctx context.Context, a *answer) *outcome {
	limit := int64(x.p.limits.AnswerBody)
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, limit+1))
	if err != nil {
		return x.truncated(ctx, err)
	}
	if int64(len(body)) > limit {
		return failed(result.AnswerUnbounded, pool.EndAbandoned, "HTTP/1.0 callers get answers without length up to %d bytes", limit)
	}
	a.body, a.length, a.whole = body, int64(len(body)), true
	return nil
}

// answer passes the outcome on to the caller. done is called with the kept answer,
// or nil when it is too large, as soon as the server's answer is known to be whole.
func (x *exchange) answer(out *outcome, done func(*keys.Answer)) {
	if out.ans == nil {
		if out.code.Info().Outcome == result.OutcomeUnknown {
			x.p.engine.Record(fleet.Event{Kind: eventUnknown, Service: x.route.Route.Service, Request: x.id,
				Reason: out.code.String(), Detail: map[string]string{"detail": out.detail}})
		}
		x.retryAfter = out.retry
		x.fail(out.code, out.detail)
		return
	}
	if out.ans.whole {
		x.deliver(out.ans, done)
		return
	}
	defer out.close()
	x.stream(out, done)
}

// deliver passes on an answer that is complete.
func (x *exchange) deliver(a *answer, done func(*keys.Answer)) {
	if done != nil {
		done(x.keep(a.status, a.header, a.body))
	}
	x.commit(a)
	if len(a.body) > 0 {
		x.writeDeadline()
		if _, err := x.w.Write(a.body); err != nil {
			x.code = result.CancelledRunning
		}
	}
}

// commit passes on the head of an answer.
func (x *exchange) commit(a *answer) {
	x.out.final()
	h := x.w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if !a.noBody {
		if a.length >= 0 {
			h["Content-Length"] = contentLength(a.length)
		} else {
			delete(h, "Content-Length")
		}
	} else if a.status == http.StatusNoContent {
		delete(h, "Content-Length")
	}
	x.connection(h)
	x.status = a.status
	x.writeDeadline()
	x.w.WriteHeader(a.status)
}

// connection asks the caller to reconnect elsewhere while this VM shuts down, and
// after a body that was not read to its end.
func (x *exchange) connection(h http.Header) {
	if x.p.engine.Draining() {
		h["Connection"] = []string{"close"}
	}
}

func (x *exchange) writeDeadline() {
	_ = x.ctl.SetWriteDeadline(time.Now().Add(x.p.limits.WriteIdle))
}

// stream passes on a long answer or one of unknown length. When it ends early the
// caller's connection is aborted, so that the caller does not take it for whole.
func (x *exchange) stream(out *outcome, done func(*keys.Answer)) {
	a := out.ans
	x.out.final()
	for name := range endToEnd(a.resp.Trailer) {
		x.w.Header().Add("Trailer", name)
	}
	x.commit(a)
	kept, keeping := a.body, done != nil
	caller := x.send(a, a.body)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	var err error
	for err == nil {
		var n int
		n, err = a.resp.Body.Read(*buf)
		if keeping && len(kept)+n <= x.p.limits.KeptAnswer {
			kept = append(kept, (*buf)[:n]...)
		} else {
			keeping = false
		}
		if caller == nil && n > 0 {
			caller = x.send(a, (*buf)[:n])
		}
		if caller != nil && x.route.Route.Idempotent {
			out.end, x.code = pool.EndAbandoned, result.CancelledRunning
			panic(http.ErrAbortHandler)
		}
	}
	if err != io.EOF {
		failure := x.truncated(a.ctx, err)
		out.end, x.code = failure.end, failure.code
		x.p.log.V(1).Info("answer ended early", "request", x.id, "code", failure.code, "error", err)
		panic(http.ErrAbortHandler)
	}
	if done != nil {
		if !keeping {
			done(nil)
		} else {
			done(x.keep(a.status, a.header, kept))
		}
	}
	if caller != nil {
		x.code = result.CancelledRunning
		panic(http.ErrAbortHandler)
	}
	for name, v := range endToEnd(a.resp.Trailer) {
		x.w.Header()[http.TrailerPrefix+name] = v
	}
}

// send writes to the caller, at once when the length is unknown.
func (x *exchange) send(a *answer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	x.writeDeadline()
	if _, err := x.w.Write(p); err != nil {
		return err
	}
	if a.length < 0 {
		return x.ctl.Flush()
	}
	return nil
}

// keep returns the answer as it is kept with a key, or nil when it is too large.
func (x *exchange) keep(status int, header http.Header, body []byte) *keys.Answer {
	size := len(body)
	for k, vs := range header {
		for _, v := range vs {
			size += len(k) + len(v) + headerOverhead
		}
	}
	if size > x.p.limits.KeptAnswer {
		return nil
	}
	return &keys.Answer{Status: status, Header: header, Body: body}
}

// Failure is the JSON body of a failure.
type Failure struct {
	Code      result.Code    `json:"code"`
	Name      string         `json:"name"`
	Outcome   result.Outcome `json:"outcome"`
	Detail    string         `json:"detail,omitempty"`
	RequestID string         `json:"request_id"`
}

func (x *exchange) failErr(e *result.Error) { x.fail(e.Code, e.Detail) }

// fail tells the caller a code and its outcome.
func (x *exchange) fail(code result.Code, detail string) {
	x.code, x.detail = code, detail
	x.out.final()
	info := code.Info()
	x.status = info.HTTP
	body, err := json.Marshal(Failure{Code: code, Name: info.Name, Outcome: x.outcome(code), Detail: detail, RequestID: x.id})
	if err != nil {
		x.p.log.Error(err, "encode failure", "request", x.id)
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	failureHeader(h, code, x.outcome(code))
	if name := x.p.dialect.RetryAfter; name != "" && info.Outcome == result.OutcomeNotRun && info.HTTP == http.StatusServiceUnavailable {
		orDefault(&x.retryAfter, x.p.limits.RetryAfter)
		h.Set(name, strconv.FormatFloat(x.retryAfter.Seconds(), 'f', 3, 64))
	}
	h["Content-Length"] = contentLength(int64(len(body)))
	x.connection(h)
	if code == result.SlowRequest || x.body == nil || !x.body.whole {
		// Part of the request may still be on the connection.
		if x.r.ContentLength != 0 {
			h["Connection"] = []string{"close"}
		}
	}
	x.writeDeadline()
	x.w.WriteHeader(info.HTTP)
	if x.r.Method != http.MethodHead {
		_, _ = x.w.Write(body)
	}
}

func failureHeader(h http.Header, code result.Code, outcome result.Outcome) {
	h["Content-Type"] = []string{"application/json"}
	h["Fulmar-Code"] = []string{strconv.Itoa(int(code))}
	h["Fulmar-Outcome"] = []string{string(outcome)}
	h["Cache-Control"] = []string{"no-store"}
}

// informer passes on informational answers until the final one is committed. The
// transport reports them from another goroutine.
type informer struct {
	x    *exchange
	mu   sync.Mutex
	over bool
}

func (i *informer) final() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.over = true
}

func (i *informer) informational(f *flight, status int, header http.Header) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.over || f.stale.Load() || status == http.StatusContinue || !i.x.r.ProtoAtLeast(1, 1) {
		return
	}
	h := i.x.w.Header()
	for k, v := range endToEnd(header) {
		h[k] = v
	}
	i.x.w.WriteHeader(status)
	clear(h)
}

// outcome returns what the caller is told. A keyed request that is refused before its
// key was looked up may be the repeat of one that ran, so it is not told "not-run".
func (x *exchange) outcome(code result.Code) result.Outcome {
	told := code.Info().Outcome
	keyed := !x.p.dialect.KeyPass && !x.route.Route.Idempotent && len(x.r.Header.Values("Idempotency-Key")) > 0
	if told == result.OutcomeNotRun && keyed && !x.keyChecked {
		return result.OutcomeUnknown
	}
	return told
}
