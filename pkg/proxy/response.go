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
	copyBuffer     = 32 << 10 // bytes copied at once while streaming
	headerOverhead = 64       // bytes counted per header value of a stored response in addition to the name and the value
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// response is a server's response to be sent to the caller.
type response struct {
	status   int
	header   http.Header     // without hop-by-hop headers and the proxy's own headers
	length   int64           // -1 when unknown
	body     []byte          // the complete body, or the part that was read before the header was forwarded
	complete bool            // body is complete and verified
	noBody   bool            // HEAD, 204, 304
	draining bool            // the server announced that it is shutting down
	resp     *http.Response  // nil for a stored response
	ctx      context.Context // of the attempt; nil for a stored response
}

func newResponse(x *exchange, resp *http.Response) *response {
	res := &response{status: resp.StatusCode, header: endToEndHeaders(resp.Header), length: resp.ContentLength, resp: resp}
	res.draining = x.p.dialect.draining(resp)
	res.noBody = x.r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if echo := x.service.EchoHeader; echo != "" {
		res.header.Set(echo, x.id) // replaces the attempt's ID
	}
	return res
}

// closeDelimited reports whether the body is delimited only by the end of the connection.
func (res *response) closeDelimited() bool {
	return !res.noBody && res.length < 0 && len(res.resp.TransferEncoding) == 0
}

// endState returns how the attempt ended, as reported to the engine.
func (res *response) endState() pool.EndState {
	switch {
	case res.status >= 500:
		return pool.EndFailed
	case res.draining:
		return pool.EndDraining
	case res.status >= 400:
		return pool.EndCallerError
	}
	return pool.EndOK
}

// bufferStart reads what is needed before the header may be forwarded: the complete body if it is
// small, otherwise its first bytes. It returns the failure, or nil.
func (x *exchange) bufferStart(ctx context.Context, res *response) *outcome {
	res.ctx = ctx
	if res.noBody || res.length == 0 {
		res.resp.Body.Close()
		res.complete = true
		return nil
	}
	if res.length > 0 && res.length <= int64(x.p.limits.MaxBufferedResponse) {
		res.body = make([]byte, res.length)
		if _, err := io.ReadFull(res.resp.Body, res.body); err != nil {
			return x.truncated(ctx, err)
		}
		res.complete = true
		return x.expectEOF(ctx, res)
	}
	if !x.r.ProtoAtLeast(1, 1) && res.length < 0 {
		return x.bufferForHTTP10(ctx, res)
	}
	if x.p.limits.BufferUnsizedResponses && res.length < 0 {
		return x.bufferUnsized(ctx, res)
	}
	first := make([]byte, 4<<10)
	n, err := res.resp.Body.Read(first)
	res.body = first[:n]
	switch {
	case err == io.EOF:
		res.complete, res.length = len(res.resp.Trailer) == 0, -1
		if res.complete {
			res.length = int64(n)
		}
	case err != nil:
		return x.truncated(ctx, err)
	}
	return nil
}

// expectEOF reads the end of a body whose declared bytes were read, so that the transport can reuse
// the connection.
func (x *exchange) expectEOF(ctx context.Context, res *response) *outcome {
	var b [1]byte
	if n, err := res.resp.Body.Read(b[:]); n != 0 || err != io.EOF {
		return x.truncated(ctx, errors.Errorf("expected the end of the body after %d bytes: %v", res.length, err))
	}
	res.resp.Body.Close()
	return nil
}

// bufferUnsized buffers a response without a length up to the limit, so that a truncated one can still
// be reported as a failure or retried. The rest of a longer one is streamed.
func (x *exchange) bufferUnsized(ctx context.Context, res *response) *outcome {
	body, err := io.ReadAll(io.LimitReader(res.resp.Body, int64(x.p.limits.MaxBufferedResponse)))
	if err != nil {
		return x.truncated(ctx, err)
	}
	res.body = body
	if len(body) < x.p.limits.MaxBufferedResponse && len(res.resp.Trailer) == 0 {
		res.resp.Body.Close()
		res.complete, res.length = true, int64(len(body))
	}
	return nil
}

// bufferForHTTP10 buffers a complete response without a length for an HTTP/1.0 caller, which could not
// distinguish an aborted response from a complete one.
func (x *exchange) bufferForHTTP10(ctx context.Context, res *response) *outcome {
	limit := int64(x.p.limits.MaxBufferedResponse)
	body, err := io.ReadAll(io.LimitReader(res.resp.Body, limit+1))
	if err != nil {
		return x.truncated(ctx, err)
	}
	if int64(len(body)) > limit {
		return failed(result.AnswerUnbounded, pool.EndAbandoned, "a response without a length exceeds the limit of %d bytes for HTTP/1.0 callers", limit)
	}
	res.body, res.length, res.complete = body, int64(len(body)), true
	return nil
}

// sendOutcome sends the response or the failure to the caller. done is called as soon as the response
// is known to be complete, with the response to store, or with nil if it is too large.
func (x *exchange) sendOutcome(out *outcome, done func(*keys.StoredResponse)) {
	if out.response == nil {
		if out.code.Info().Outcome == result.OutcomeUnknown {
			x.p.engine.RecordEvent(fleet.Event{Kind: eventUnknown, Service: x.route.Route.Service, Request: x.id,
				Reason: out.code.String(), Detail: map[string]string{"detail": out.detail}})
		}
		x.retryAfter = out.retryAfter
		x.fail(out.code, out.detail)
		return
	}
	if out.response.complete {
		x.sendComplete(out.response, done)
		return
	}
	defer out.close()
	x.stream(out, done)
}

// sendComplete sends a complete response.
func (x *exchange) sendComplete(res *response, done func(*keys.StoredResponse)) {
	if done != nil {
		done(x.storedResponse(res.status, res.header, res.body))
	}
	x.writeHead(res)
	if len(res.body) > 0 {
		x.setWriteDeadline()
		if _, err := x.w.Write(res.body); err != nil {
			x.code = result.CancelledRunning
		}
	}
}

// writeHead sends the status and header of a response.
func (x *exchange) writeHead(res *response) {
	x.informational.stop()
	h := x.w.Header()
	for k, v := range res.header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from detecting one
	}
	if !res.noBody {
		if res.length >= 0 {
			h["Content-Length"] = contentLength(res.length)
		} else {
			delete(h, "Content-Length")
		}
	} else if res.status == http.StatusNoContent {
		delete(h, "Content-Length")
	}
	x.setConnectionHeader(h)
	if !x.body.isRead() {
		// net/http would take what follows of the body for the next request: it does not notice
		// that it could not read the body to its end.
		h["Connection"] = []string{"close"}
	}
	x.status = res.status
	x.setWriteDeadline()
	x.w.WriteHeader(res.status)
}

// setConnectionHeader makes the caller reconnect to another VM while this one shuts down.
func (x *exchange) setConnectionHeader(h http.Header) {
	if x.p.engine.Draining() {
		h["Connection"] = []string{"close"}
	}
}

func (x *exchange) setWriteDeadline() {
	_ = x.ctl.SetWriteDeadline(time.Now().Add(x.p.limits.WriteTimeout))
}

// stream forwards a response that is long or has no declared length. If it is truncated, the caller's
// connection is aborted, so that the caller does not take the response for complete. If the caller
// disconnects, the response of a non-idempotent request is read to its end, so that it can be stored.
func (x *exchange) stream(out *outcome, done func(*keys.StoredResponse)) {
	res := out.response
	x.informational.stop()
	for name := range endToEndHeaders(res.resp.Trailer) {
		x.w.Header().Add("Trailer", name)
	}
	x.writeHead(res)
	stored, storing := res.body, done != nil
	callerErr := x.write(res, res.body)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	var err error
	for err == nil {
		var n int
		n, err = res.resp.Body.Read(*buf)
		if storing && len(stored)+n <= x.p.limits.MaxStoredResponse {
			stored = append(stored, (*buf)[:n]...)
		} else {
			storing = false
		}
		if callerErr == nil && n > 0 {
			callerErr = x.write(res, (*buf)[:n])
		}
		if callerErr != nil && x.route.Route.Idempotent {
			out.end, x.code = pool.EndAbandoned, result.CancelledRunning
			panic(http.ErrAbortHandler)
		}
	}
	if err != io.EOF {
		failure := x.truncated(res.ctx, err)
		out.end, x.code = failure.end, failure.code
		x.p.log.V(1).Info("answer ended early", "request", x.id, "code", failure.code, "error", err)
		panic(http.ErrAbortHandler)
	}
	if done != nil {
		if !storing {
			done(nil)
		} else {
			done(x.storedResponse(res.status, res.header, stored))
		}
	}
	if callerErr != nil {
		x.code = result.CancelledRunning
		panic(http.ErrAbortHandler)
	}
	for name, v := range endToEndHeaders(res.resp.Trailer) {
		x.w.Header()[http.TrailerPrefix+name] = v
	}
}

// write writes to the caller, and flushes at once if the length is unknown.
func (x *exchange) write(res *response, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	x.setWriteDeadline()
	if _, err := x.w.Write(p); err != nil {
		return err
	}
	if res.length < 0 {
		return x.ctl.Flush()
	}
	return nil
}

// storedResponse returns the response in the form stored with a key, or nil if it is too large.
func (x *exchange) storedResponse(status int, header http.Header, body []byte) *keys.StoredResponse {
	size := len(body)
	for k, vs := range header {
		for _, v := range vs {
			size += len(k) + len(v) + headerOverhead
		}
	}
	if size > x.p.limits.MaxStoredResponse {
		return nil
	}
	return &keys.StoredResponse{Status: status, Header: header, Body: body}
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Code      result.Code    `json:"code"`
	Name      string         `json:"name"`
	Outcome   result.Outcome `json:"outcome"`
	Detail    string         `json:"detail,omitempty"`
	RequestID string         `json:"request_id"`
}

func (x *exchange) failError(e *result.Error) { x.fail(e.Code, e.Detail) }

// fail sends an error response.
func (x *exchange) fail(code result.Code, detail string) {
	x.code, x.detail = code, detail
	x.informational.stop()
	info := code.Info()
	x.status = info.HTTPStatus
	body, err := json.Marshal(ErrorResponse{Code: code, Name: info.Name, Outcome: x.reportedOutcome(code), Detail: detail, RequestID: x.id})
	if err != nil {
		x.p.log.Error(err, "cannot encode the error response", "request", x.id)
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	setErrorHeader(h, code, x.reportedOutcome(code))
	if name := x.p.dialect.RetryAfter; name != "" && info.Outcome == result.OutcomeNotRun && mayComeBack(info.HTTPStatus) {
		orDefault(&x.retryAfter, x.p.limits.RetryAfter)
		h.Set(name, strconv.FormatFloat(x.retryAfter.Seconds(), 'f', 3, 64))
	}
	if code == result.APIKeyUnknown {
		h["Www-Authenticate"] = []string{`ApiKey header="` + x.p.dialect.APIKey + `"`} // required by RFC 9110, section 11.6.1
	}
	h["Content-Length"] = contentLength(int64(len(body)))
	x.setConnectionHeader(h)
	if code == result.SlowRequest || x.body == nil || !x.body.complete {
		// Part of the request may still be unread on the connection.
		if x.r.ContentLength != 0 {
			h["Connection"] = []string{"close"}
		}
	}
	x.setWriteDeadline()
	x.w.WriteHeader(info.HTTPStatus)
	if x.r.Method != http.MethodHead {
		_, _ = x.w.Write(body)
	}
}

// mayComeBack reports whether a refusal with the status names the delay before the next request.
func mayComeBack(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func setErrorHeader(h http.Header, code result.Code, outcome result.Outcome) {
	h["Content-Type"] = []string{"application/json"}
	h["Fulmar-Code"] = []string{strconv.Itoa(int(code))}
	h["Fulmar-Outcome"] = []string{string(outcome)}
	h["Cache-Control"] = []string{"no-store"}
}

// informationalWriter forwards 1xx responses until the final response starts. The transport reports
// them from another goroutine.
type informationalWriter struct {
	x       *exchange
	mu      sync.Mutex
	stopped bool
}

func (i *informationalWriter) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
}

func (i *informationalWriter) forward(wire *wireAttempt, status int, header http.Header) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped || wire.strayResponse.Load() || status == http.StatusContinue || !i.x.r.ProtoAtLeast(1, 1) {
		return
	}
	h := i.x.w.Header()
	for k, v := range endToEndHeaders(header) {
		h[k] = v
	}
	i.x.w.WriteHeader(status)
	clear(h)
}

// reportedOutcome returns the outcome reported to the caller. A keyed request that is refused before
// its key is looked up may repeat one that ran, so "not-run" is not reported for it.
func (x *exchange) reportedOutcome(code result.Code) result.Outcome {
	reported := code.Info().Outcome
	keyed := !x.p.dialect.ForwardIdempotencyKey && !x.route.Route.Idempotent && len(x.r.Header.Values("Idempotency-Key")) > 0
	if reported == result.OutcomeNotRun && keyed && !x.keyChecked {
		return result.OutcomeUnknown
	}
	return reported
}
