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

// budget bounds the bytes buffered by one VM.
type budget struct {
	mu   sync.Mutex
	free int64
}

func (b *budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.free {
		return false
	}
	b.free -= n
	return true
}

func (b *budget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
}

// requestBody is a caller's body: a buffered start and, when it is longer than the
// buffer, the rest as a stream that can be read once.
type requestBody struct {
	x        *exchange
	buffered []byte
	whole    bool // buffered holds all of it
	taken    int64

	mu   sync.Mutex
	read int64 // bytes of the rest read so far
	err  error // first error of the caller's stream
	done bool  // the stream reached its end
}

// size returns the body's declared length, -1 when unknown.
func (b *requestBody) size() int64 {
	if b.whole {
		return int64(len(b.buffered))
	}
	return b.x.r.ContentLength
}

func (b *requestBody) release() {
	b.x.p.buffers.give(b.taken)
	b.taken = 0
}

// readBody buffers the start of the body. A body that is longer than the route
// allows, too slow or malformed is refused before anything was sent to a server.
func (x *exchange) readBody() *result.Error {
	b := &requestBody{x: x}
	x.body = b
	length := x.r.ContentLength
	limit := x.maxBody()
	if length > limit {
		return result.Errorf(result.BodyTooLarge, "%d bytes, route %s allows %d", length, x.route.Name, limit)
	}
	if length == 0 {
		b.whole = true
		return nil
	}
	room := int64(x.p.limits.ReplayBody)
	if length > 0 {
		room = min(room, length)
	}
	if !x.p.buffers.take(room) {
		return result.Errorf(result.BufferLimit, "%d bytes are not free", room)
	}
	b.taken = room
	err := b.fill(room)
	if int64(len(b.buffered)) > limit {
		return result.Errorf(result.BodyTooLarge, "route %s allows %d bytes", x.route.Name, limit)
	}
	switch {
	case err == io.EOF:
		b.whole = true
	case err != nil:
		return x.bodyError(err)
	case length == room:
		b.whole = true
	default:
		// The caller may go on sending while the server answers.
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

// fill reads up to room bytes; io.EOF means that the body ended within them.
func (b *requestBody) fill(room int64) error {
	if b.x.r.ContentLength > 0 {
		b.buffered = make([]byte, 0, room)
	} else {
		b.buffered = make([]byte, 0, min(room, 4<<10))
	}
	for int64(len(b.buffered)) < room {
		if len(b.buffered) == cap(b.buffered) {
			grown := make([]byte, len(b.buffered), min(room, int64(2*cap(b.buffered))))
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

// readCaller reads from the caller within the idle limit.
func (b *requestBody) readCaller(p []byte) (int, error) {
	_ = b.x.ctl.SetReadDeadline(time.Now().Add(b.x.p.limits.BodyIdle))
	return b.x.r.Body.Read(p)
}

// bodyError maps a failed read of the caller's body before dispatch.
func (x *exchange) bodyError(err error) *result.Error {
	var ne net.Error
	var forbidden *guardError
	switch {
	case errors.As(err, &forbidden):
		return result.Errorf(forbidden.code, "%s", forbidden.reason)
	case errors.Is(err, errBodyBeyond):
		return result.Errorf(result.BodyTooLarge, "route %s allows %d bytes", x.route.Name, x.maxBody())
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &ne) && ne.Timeout():
		return result.Errorf(result.SlowRequest, "no byte of the body for %s", x.p.limits.BodyIdle)
	case x.callerGone(), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return result.Errorf(result.CallerGone, "the body ended early")
	}
	return result.Errorf(result.BadRequest, "body: %v", err)
}

// errBodyBeyond ends a streamed body that grows beyond the route's bound.
var errBodyBeyond = errors.New("the body exceeds the route's limit")

// reader returns the body for one attempt and its length (-1 for chunked). The
// values of the declared trailers are filled in when a streamed body ends.
func (b *requestBody) reader(trailer http.Header) (io.ReadCloser, int64) {
	if b.whole {
		if len(b.buffered) == 0 {
			return http.NoBody, 0
		}
		return io.NopCloser(bytes.NewReader(b.buffered)), int64(len(b.buffered))
	}
	return &bodyStream{b: b, rest: b.buffered, trailer: trailer}, b.x.r.ContentLength
}

// bodyStream is the buffered start followed by the caller's stream.
type bodyStream struct {
	b       *requestBody
	rest    []byte
	trailer http.Header
}

func (s *bodyStream) Read(p []byte) (int, error) {
	if len(s.rest) > 0 {
		n := copy(p, s.rest)
		s.rest = s.rest[n:]
		return n, nil
	}
	b := s.b
	n, err := b.readCaller(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	if int64(len(b.buffered))+b.read > b.x.maxBody() {
		n, err = 0, errBodyBeyond
	}
	switch {
	case err == io.EOF:
		b.done = true
		for name := range s.trailer {
			s.trailer[name] = b.x.r.Trailer[name]
		}
		// net/http now watches the connection for the caller's leaving.
		_ = b.x.ctl.SetReadDeadline(time.Time{})
	case err != nil && b.err == nil:
		b.err = err
	}
	return n, err
}

// Close leaves the caller's body open: the answer may still be on its way.
func (s *bodyStream) Close() error { return nil }

// untouched reports whether the body can be sent from its start once more.
func (b *requestBody) untouched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole || b.read == 0 && b.err == nil && !b.done
}

// failure returns the error that ended the caller's stream, if any.
func (b *requestBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// abandon unblocks a read of the caller's stream once the attempt is over. The
// caller's connection cannot be used again after that.
func (b *requestBody) abandon() {
	b.mu.Lock()
	unread := !b.whole && !b.done
	b.mu.Unlock()
	if unread {
		_ = b.x.ctl.SetReadDeadline(time.Now())
	}
}
