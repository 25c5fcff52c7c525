package proxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// framingError is a violation of HTTP framing on a caller's connection.
type framingError struct {
	code   result.Code
	reason string
}

// Error returns the reason.
func (e *framingError) Error() string { return e.reason }

// WrapListener wraps a listener for callers. Its connections enforce HTTP/1 framing more strictly than
// net/http, which accepts some ambiguous forms: Content-Length together with Transfer-Encoding,
// repeated Content-Length, folded headers, bare line feeds, and Transfer-Encoding in HTTP/1.0. They
// also enforce the document's limits for callers. Shutdown stops the listener.
func (p *Proxy) WrapListener(l net.Listener) net.Listener {
	wrapped := &framingListener{Listener: l, limits: p.callerLimits, heads: p.heads, conns: &p.callerConns, stopped: make(chan struct{})}
	p.callerConns.addListener(wrapped)
	return wrapped
}

type framingListener struct {
	net.Listener
	limits func() callerLimits
	heads  *headMemory
	conns  *callerConns

	stopBy   atomic.Pointer[time.Time] // until when a listener that is being stopped accepts; nil before
	stopOnce sync.Once
	stopped  chan struct{} // closed when no further connection is accepted

	closeOnce sync.Once
	closeErr  error
}

// Accept returns the next connection, wrapped with the framing check.
func (l *framingListener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err != nil {
		return nil, err
	}
	fc := &framingConn{Conn: c, limits: l.limits, heads: l.heads, accepted: time.Now()}
	fc.scanner = scanner{limit: l.limits().header, charge: fc.chargeHead}
	if tcp, ok := c.(*net.TCPConn); ok {
		if fc.raw, err = tcp.SyscallConn(); err != nil {
			c.Close()
			return nil, err
		}
	}
	l.conns.add(fc)
	return fc, nil
}

// framingConn scans what a caller sends. The byte that completes a violation never reaches net/http: the
// read fails, and net/http responds with an error and closes the connection.
type framingConn struct {
	net.Conn
	raw      syscall.RawConn // nil if the connection is not TCP
	limits   func() callerLimits
	heads    *headMemory
	scanner  scanner
	failed   *framingError
	timer    callerTimer
	accepted time.Time

	mu       sync.Mutex
	scanning bool // bytes were read that the scanner has not counted
	started  int  // requests of which a byte was read
	finished int  // requests whose response was sent
	closing  bool // no byte is read any more
	closed   bool // nothing is charged any more
	charges  []headCharge
}

// Read reads and scans data from the caller.
func (c *framingConn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendIdle() {
		n, err = c.read(p)
	}
	if n > 0 && c.scanner.idle() {
		c.scanner.limit = c.limits().header
	}
	accepted, framingErr := c.scanner.feed(p[:n])
	c.countRequests()
	c.updateHeaderDeadline()
	if framingErr != nil {
		c.failed = framingErr
		if accepted == 0 {
			return 0, framingErr
		}
		return accepted, nil
	}
	return n, err
}

// plainErrorHeader follows the status line of the error responses that net/http writes itself before a
// handler runs.
var plainErrorHeader = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write replaces net/http's own error responses with ones that have the proxy's headers and body.
func (c *framingConn) Write(p []byte) (int, error) {
	const statusStart, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 400")
	if len(p) < 512 && len(p) > statusEnd && p[statusStart] >= '4' && bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		if line, text, ok := bytes.Cut(p, plainErrorHeader); ok && !bytes.Contains(line, []byte("\n")) {
			if _, err := c.Conn.Write(c.errorResponse(string(p[statusStart:statusEnd]), string(text))); err != nil {
				return 0, err
			}
			return len(p), nil
		}
	}
	return c.Conn.Write(p)
}

// errorResponse returns the response for a framing violation, or for the given status and text of net/http.
func (c *framingConn) errorResponse(status, text string) []byte {
	code := result.BadRequest
	if status == "431" {
		code = result.HeaderTooLarge
	}
	if c.failed != nil {
		code, text = c.failed.code, c.failed.reason
	}
	info := code.Info()
	retryAfter := ""
	if mayComeBack(info.HTTPStatus) {
		retryAfter = c.heads.retryAfter
	}
	body, err := json.Marshal(ErrorResponse{Code: code, Name: info.Name, Outcome: info.Outcome, Detail: text})
	if err != nil {
		body = nil
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nFulmar-Code: %d\r\n"+
		"Fulmar-Outcome: %s\r\n%sConnection: close\r\n\r\n%s", info.HTTPStatus, info.Name, len(body), int(code), info.Outcome, retryAfter, body)
}

// CloseWrite closes the sending direction. net/http calls it so that the caller can read the last response
// before the connection is closed.
func (c *framingConn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// scanState is the part of a request that the scanner is in.
type scanState uint8

const (
	scanRequestLine scanState = iota
	scanHeader
	scanBody // a body or chunk of known length
	scanChunkSize
	scanChunkCRLF
	scanTrailer
)

const (
	maxChunkLine = 256 // bytes of a chunk-size line including its extension
	maxChunkHex  = 15  // digits of a chunk size; keeps it within int64
)

// scanner tracks the framing of the requests on one connection.
type scanner struct {
	limit       int // maximum bytes of a header section
	state       scanState
	line        []byte
	headerBytes int   // bytes of the current header section
	remaining   int64 // bytes of the body or chunk still to be read
	chunked     bool
	length      int64 // -1 when absent
	codings     int   // number of Transfer-Encoding headers
	notHTTP11   bool  // the request is not HTTP/1.1
	headerSeen  bool  // a complete request header was read on this connection
	requests    int   // requests of which a byte was read

	charge  func(request int, n int64) *framingError // nil if the memory of headers is not limited
	cost    int64                                    // of the header and trailer of the current request
	charged int64                                    // part of cost, beyond freeHeadCost
}

// idle reports whether the connection is between two requests.
func (s *scanner) idle() bool { return s.state == scanRequestLine && len(s.line) == 0 }

// inHeader reports whether a header was started and not completed.
func (s *scanner) inHeader() bool {
	return s.state == scanHeader || s.state == scanRequestLine && len(s.line) > 0
}

func violation(format string, args ...any) *framingError {
	return &framingError{result.BadRequest, fmt.Sprintf(format, args...)}
}

// feed scans p. On a violation it returns the number of bytes before the one that completes it.
func (s *scanner) feed(p []byte) (int, *framingError) {
	for i := 0; i < len(p); {
		if s.state == scanBody {
			n := min(s.remaining, int64(len(p)-i))
			s.remaining -= n
			i += int(n)
			if s.remaining == 0 {
				s.endBody()
			}
			continue
		}
		if s.idle() {
			s.requests++
		}
		j := bytes.IndexByte(p[i:], '\n')
		if j < 0 {
			s.line = append(s.line, p[i:]...)
			err := s.checkLimits()
			if err == nil {
				err = s.addCost(len(p) - i)
			}
			if err != nil {
				return i, err
			}
			return len(p), nil
		}
		s.line = append(s.line, p[i:i+j+1]...)
		err := s.checkLimits()
		if err == nil {
			err = s.addCost(j + 1 + headLineCost)
		}
		if err == nil {
			err = s.parseLine()
		}
		if err != nil {
			return i + j, err
		}
		s.line = s.line[:0]
		i += j + 1
	}
	return len(p), nil
}

func (s *scanner) checkLimits() *framingError {
	if s.state == scanChunkSize || s.state == scanChunkCRLF {
		if len(s.line) > maxChunkLine {
			return violation("chunk size line is too long")
		}
		return nil
	}
	if s.headerBytes+len(s.line) > s.limit {
		return &framingError{result.HeaderTooLarge, fmt.Sprintf("header exceeds %d bytes", s.limit)}
	}
	return nil
}

// addCost counts memory that the current header or trailer takes, and charges it if it is beyond freeHeadCost.
func (s *scanner) addCost(n int) *framingError {
	if s.charge == nil || s.state == scanChunkSize || s.state == scanChunkCRLF {
		return nil
	}
	s.cost += int64(n)
	due := s.cost - freeHeadCost - s.charged
	if due <= 0 {
		return nil
	}
	due = (due + headChargeStep - 1) / headChargeStep * headChargeStep
	s.charged += due
	return s.charge(s.requests, due)
}

// endBody handles the end of a body or chunk.
func (s *scanner) endBody() {
	if s.chunked {
		s.state = scanChunkCRLF
		return
	}
	s.reset()
}

func (s *scanner) reset() {
	s.state, s.headerBytes, s.remaining, s.chunked, s.length, s.codings, s.notHTTP11 = scanRequestLine, 0, 0, false, -1, 0, false
	s.cost, s.charged = 0, 0
	if cap(s.line) > maxKeptLine {
		s.line = nil
	}
}

func (s *scanner) parseLine() *framingError {
	line, ok := bytes.CutSuffix(s.line, []byte("\r\n"))
	if !ok || bytes.ContainsAny(line, "\r\x00") {
		return violation("line is not terminated by CRLF or contains a CR or NUL character")
	}
	s.headerBytes += len(s.line)
	switch s.state {
	case scanRequestLine:
		if len(line) == 0 {
			return violation("empty request line")
		}
		cost, charged := s.cost, s.charged
		length := len(s.line)
		s.reset()
		s.cost, s.charged = cost, charged
		s.headerBytes = length
		s.notHTTP11 = !bytes.HasSuffix(line, []byte(" HTTP/1.1"))
		s.state = scanHeader
		return nil
	case scanHeader:
		if len(line) == 0 {
			return s.endHeader()
		}
		return s.parseHeaderLine(line)
	case scanTrailer:
		if len(line) == 0 {
			s.reset()
			return nil
		}
		name, err := fieldName(line)
		if err == nil && (equalName(name, "Content-Length") || equalName(name, "Transfer-Encoding")) {
			err = violation("%s in a trailer", name)
		}
		return err
	case scanChunkCRLF:
		if len(line) != 0 {
			return violation("chunk is longer than its size")
		}
		s.state = scanChunkSize
		return nil
	}
	return s.parseChunkSize(line)
}

func (s *scanner) parseChunkSize(line []byte) *framingError {
	size, _, _ := bytes.Cut(line, []byte(";"))
	hex := string(size)
	if hex == "" || len(hex) > maxChunkHex {
		return violation("bad chunk size")
	}
	n, err := strconv.ParseUint(hex, 16, 63)
	if err != nil || strings.ContainsAny(hex, "+_xX") {
		return violation("bad chunk size")
	}
	s.remaining = int64(n)
	s.state = scanBody
	if n == 0 {
		s.state, s.headerBytes = scanTrailer, 0
	}
	return nil
}

// fieldName returns the name of a header line. It rejects folded lines and white space in or after the name.
func fieldName(line []byte) ([]byte, *framingError) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, violation("folded header line")
	}
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return nil, violation("malformed header line")
	}
	return name, nil
}

// equalName compares header names; the length check avoids the case folding for most names.
func equalName(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

func (s *scanner) parseHeaderLine(line []byte) *framingError {
	name, err := fieldName(line)
	if err != nil {
		return err
	}
	value := bytes.Trim(line[len(name)+1:], " \t")
	switch {
	case equalName(name, "Content-Length"):
		if s.length >= 0 {
			return violation("several Content-Length headers")
		}
		n, parseErr := strconv.ParseUint(string(value), 10, 63)
		if parseErr != nil || value[0] == '+' {
			return violation("bad Content-Length")
		}
		s.length = int64(n)
	case equalName(name, "Trailer"):
		return s.addCost(headLineCost * bytes.Count(value, []byte(","))) // net/http keeps an entry for each name
	case equalName(name, "Expect"):
		// net/http responds to other expectations itself, without the proxy's headers.
		if !strings.EqualFold(string(value), "100-continue") {
			return violation("unknown expectation")
		}
	case equalName(name, "Transfer-Encoding"):
		s.codings++
		if s.codings > 1 || !strings.EqualFold(string(value), "chunked") {
			return violation("transfer coding other than chunked")
		}
	}
	return nil
}

// endHeader determines the framing of the body.
func (s *scanner) endHeader() *framingError {
	s.headerSeen = true
	switch {
	case s.codings > 0 && s.length >= 0:
		return violation("both Content-Length and Transfer-Encoding")
	case s.codings > 0 && s.notHTTP11:
		return violation("Transfer-Encoding in a request that is not HTTP/1.1")
	case s.codings > 0:
		s.chunked, s.state = true, scanChunkSize
	case s.length > 0:
		s.remaining, s.state = s.length, scanBody
	default:
		s.reset()
	}
	return nil
}
