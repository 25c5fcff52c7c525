package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// byteBudget limits the bytes of request bodies buffered by one VM.
type byteBudget struct {
	mu   sync.Mutex
	free int64
}

func (b *byteBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.free {
		return false
	}
	b.free -= n
	return true
}

func (b *byteBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
}

// requestBody is a caller's body: a buffered prefix and, if it is longer than the buffer, the rest as
// a stream that can be read once.
type requestBody struct {
	x        *exchange
	buffered []byte
	complete bool  // buffered holds the complete body
	reserved int64 // bytes reserved from Proxy.buffers

	mu       sync.Mutex
	streamed int64 // bytes read after the buffered prefix
	err      error // first error of the caller's stream
	eof      bool  // the stream was read to its end

	interrupted bool // the read deadline has passed, so the connection cannot be used for another request
}

// size returns the length of the body: the actual one if the body is buffered completely, otherwise the
// declared one, or -1 if there is none.
func (b *requestBody) size() int64 {
	if b.complete {
		return int64(len(b.buffered))
	}
	return b.x.r.ContentLength
}

// isRead reports whether the body was read to its end without an interruption, so that the
// caller's connection can be used for another request.
func (b *requestBody) isRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete || b.eof && !b.interrupted
}

func (b *requestBody) releaseBuffer() {
	b.x.p.buffers.release(b.reserved)
	b.reserved = 0
}

// readBody buffers the start of the body. A body that exceeds the route's limit, arrives too slowly or
// is malformed is refused before anything is sent to a server.
func (x *exchange) readBody() *result.Error {
	b := &requestBody{x: x}
	x.body = b
	length := x.r.ContentLength
	limit := x.maxBody()
	if length > limit {
		return result.Errorf(result.BodyTooLarge, "%d bytes, route %s allows %d", length, x.route.Name, limit)
	}
	if length == 0 {
		b.complete = true
		return nil
	}
	bufferSize := int64(x.p.limits.MaxReplayableBody)
	if length > 0 {
		bufferSize = min(bufferSize, length)
	}
	if !x.p.buffers.reserve(bufferSize) {
		return result.Errorf(result.BufferLimit, "the VM's body buffer has less than %d free bytes", bufferSize)
	}
	b.reserved = bufferSize
	err := b.fill(bufferSize)
	if int64(len(b.buffered)) > limit {
		return result.Errorf(result.BodyTooLarge, "route %s allows %d bytes", x.route.Name, limit)
	}
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil:
		return x.bodyError(err)
	case length == bufferSize:
		b.complete = true
	default:
		// The caller may continue to send while the server responds.
		_ = x.ctl.EnableFullDuplex()
		return nil
	}
	_ = x.ctl.SetReadDeadline(time.Time{})
	return nil
}

func (x *exchange) maxBody() int64 {
	limit := x.route.Route.MaxBody
	orDefault(&limit, x.p.limits.DefaultMaxBody)
	return limit
}

// fill reads up to limit bytes. io.EOF means that the body ended within them.
func (b *requestBody) fill(limit int64) error {
	if b.x.r.ContentLength > 0 {
		b.buffered = make([]byte, 0, limit)
	} else {
		b.buffered = make([]byte, 0, min(limit, 4<<10))
	}
	for int64(len(b.buffered)) < limit {
		if len(b.buffered) == cap(b.buffered) {
			grown := make([]byte, len(b.buffered), min(limit, int64(2*cap(b.buffered))))
			copy(grown, b.buffered)
			b.buffered = grown
		}
		n, err := b.readCaller(b.buffered[len(b.buffered):cap(b.buffered)])
		b.buffered = b.buffered[:len(b.buffered)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// readCaller reads from the caller. A read fails after Limits.BodyReadTimeout without data.
func (b *requestBody) readCaller(p []byte) (int, error) {
	_ = b.x.ctl.SetReadDeadline(time.Now().Add(b.x.p.limits.BodyReadTimeout))
	return b.x.r.Body.Read(p)
}

// bodyError converts an error from reading the caller's body, if no byte was sent to a server.
func (x *exchange) bodyError(err error) *result.Error {
	var ne net.Error
	var violation *framingError
	switch {
	case errors.As(err, &violation):
		return result.Errorf(violation.code, "%s", violation.reason)
	case errors.Is(err, errBodyTooLarge):
		return result.Errorf(result.BodyTooLarge, "route %s allows %d bytes", x.route.Name, x.maxBody())
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &ne) && ne.Timeout():
		return result.Errorf(result.SlowRequest, "no data of the body received for %s", x.p.limits.BodyReadTimeout)
	case x.callerGone(), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return result.Errorf(result.CallerGone, "the body was truncated")
	}
	return result.Errorf(result.BadRequest, "body: %v", err)
}

// errBodyTooLarge is the read error of a streamed body that exceeds the route's limit.
var errBodyTooLarge = errors.New("the body exceeds the route's limit")

// reader returns the body for one attempt and its length (-1 for chunked). The values of the declared
// trailers are set when a streamed body ends.
func (b *requestBody) reader(trailer http.Header) (io.ReadCloser, int64) {
	if b.complete {
		if len(b.buffered) == 0 {
			return http.NoBody, 0
		}
		return io.NopCloser(bytes.NewReader(b.buffered)), int64(len(b.buffered))
	}
	return &bodyStream{b: b, prefix: b.buffered, trailer: trailer}, b.x.r.ContentLength
}

// bodyStream reads the buffered prefix and then the caller's stream.
type bodyStream struct {
	b       *requestBody
	prefix  []byte
	trailer http.Header
}

func (s *bodyStream) Read(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	b := s.b
	n, err := b.readCaller(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streamed += int64(n)
	if int64(len(b.buffered))+b.streamed > b.x.maxBody() {
		n, err = 0, errBodyTooLarge
	}
	switch {
	case err == io.EOF:
		b.eof = true
		for name := range s.trailer {
			s.trailer[name] = b.x.r.Trailer[name]
		}
		// From here on net/http watches the connection for a disconnect of the caller.
		_ = b.x.ctl.SetReadDeadline(time.Time{})
	case err != nil && b.err == nil:
		b.err = err
	}
	return n, err
}

// Close does not close the caller's body, because the response may still be in progress.
func (s *bodyStream) Close() error { return nil }

// replayable reports whether the body can be sent again from its start.
func (b *requestBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete || b.streamed == 0 && b.err == nil && !b.eof
}

// streamError returns the error that ended the caller's stream, if any.
func (b *requestBody) streamError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// interruptRead unblocks a read of the caller's stream after the attempt ended. The caller's
// connection cannot be reused after that.
func (b *requestBody) interruptRead() {
	b.mu.Lock()
	unread := !b.complete && !b.eof
	b.interrupted = b.interrupted || unread
	b.mu.Unlock()
	if unread {
		_ = b.x.ctl.SetReadDeadline(time.Now())
	}
}
