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

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// guardError is a violation of HTTP framing found on a caller's connection.
type guardError struct {
	code   result.Code
	reason string
}

// Error returns the reason.
func (e *guardError) Error() string { return e.reason }

// Listener wraps a listener for callers. Its connections check HTTP/1 framing more
// strictly than net/http, which accepts some ambiguous forms: a length together with
// a transfer coding, repeated lengths, folded headers, bare line feeds, and transfer
// codings in HTTP/1.0. They also keep the document's limits for callers.
func (p *Proxy) Listener(l net.Listener) net.Listener {
	return &guardListener{Listener: l, limits: p.callerLimits}
}

type guardListener struct {
	net.Listener
	limits func() callerLimits
}

// Accept returns the next connection, guarded.
func (l *guardListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardConn{Conn: c, limits: l.limits, scan: scanner{limit: l.limits().header}}, nil
}

// guardConn scans what a caller sends. net/http never sees the byte that completes a
// violation: it gets an error instead, answers and closes.
type guardConn struct {
	net.Conn
	limits func() callerLimits
	scan   scanner
	failed *guardError
	timer  callerTimer
}

// Read reads and scans bytes of the caller.
func (c *guardConn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.stayIdle() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 && c.scan.idle() {
		c.scan.limit = c.limits().header
	}
	ok, bad := c.scan.feed(p[:n])
	c.scanned()
	if bad != nil {
		c.failed = bad
		if ok == 0 {
			return 0, bad
		}
		return ok, nil
	}
	return n, err
}

// plainError follows the status line in answers that net/http writes itself, before
// a handler runs.
var plainError = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write replaces net/http's own error answers by ones with the fleet's headers.
func (c *guardConn) Write(p []byte) (int, error) {
	const statusAt, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 400")
	if len(p) < 512 && len(p) > statusEnd && p[statusAt] >= '4' && bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		if line, text, ok := bytes.Cut(p, plainError); ok && !bytes.Contains(line, []byte("\n")) {
			if _, err := c.Conn.Write(c.rewrite(string(p[statusAt:statusEnd]), string(text))); err != nil {
				return 0, err
			}
			return len(p), nil
		}
	}
	return c.Conn.Write(p)
}

func (c *guardConn) rewrite(status, text string) []byte {
	code := result.BadRequest
	if status == "431" {
		code = result.HeaderTooLarge
	}
	if c.failed != nil {
		code, text = c.failed.code, c.failed.reason
	}
	info := code.Info()
	body, err := json.Marshal(Failure{Code: code, Name: info.Name, Outcome: info.Outcome, Detail: text})
	if err != nil {
		body = nil
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nFulmar-Code: %d\r\n"+
		"Fulmar-Outcome: %s\r\nConnection: close\r\n\r\n%s", info.HTTP, info.Name, len(body), int(code), info.Outcome, body)
}

// CloseWrite lets net/http send its last answer before it closes.
func (c *guardConn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// States of the scanner.
type scanState uint8

const (
	scanRequestLine scanState = iota
	scanHeader
	scanBody // a body or chunk of known length
	scanChunkSize
	scanChunkEnd
	scanTrailer
)

const (
	maxChunkLine = 256 // bytes of a chunk size line with its extension
	maxChunkHex  = 15  // digits of a chunk size; keeps it within int64
)

// scanner follows the framing of the requests on one connection.
type scanner struct {
	limit   int // bytes of a header section
	state   scanState
	line    []byte
	head    int   // bytes of the header section so far
	left    int64 // bytes of the body or chunk still to come
	chunked bool
	length  int64 // -1 when absent
	coding  int   // number of Transfer-Encoding headers
	old     bool  // the request is not HTTP/1.1
	served  bool  // a whole request header was read before
}

// idle reports whether the caller is between two requests.
func (s *scanner) idle() bool { return s.state == scanRequestLine && len(s.line) == 0 }

// inHeader reports whether a part of a header was read.
func (s *scanner) inHeader() bool {
	return s.state == scanHeader || s.state == scanRequestLine && len(s.line) > 0
}

func violation(format string, args ...any) *guardError {
	return &guardError{result.BadRequest, fmt.Sprintf(format, args...)}
}

// feed scans p. On a violation it returns the number of bytes before the one that
// completes it.
func (s *scanner) feed(p []byte) (int, *guardError) {
	for i := 0; i < len(p); {
		if s.state == scanBody {
			n := min(s.left, int64(len(p)-i))
			s.left -= n
			i += int(n)
			if s.left == 0 {
				s.endData()
			}
			continue
		}
		j := bytes.IndexByte(p[i:], '\n')
		if j < 0 {
			s.line = append(s.line, p[i:]...)
			if err := s.bound(); err != nil {
				return i, err
			}
			return len(p), nil
		}
		s.line = append(s.line, p[i:i+j+1]...)
		err := s.bound()
		if err == nil {
			err = s.endLine()
		}
		if err != nil {
			return i + j, err
		}
		s.line = s.line[:0]
		i += j + 1
	}
	return len(p), nil
}

func (s *scanner) bound() *guardError {
	if s.state == scanChunkSize || s.state == scanChunkEnd {
		if len(s.line) > maxChunkLine {
			return violation("chunk size line is too long")
		}
		return nil
	}
	if s.head+len(s.line) > s.limit {
		return &guardError{result.HeaderTooLarge, fmt.Sprintf("header exceeds %d bytes", s.limit)}
	}
	return nil
}

// endData is called at the end of a body or chunk.
func (s *scanner) endData() {
	if s.chunked {
		s.state = scanChunkEnd
		return
	}
	s.reset()
}

func (s *scanner) reset() {
	s.state, s.head, s.left, s.chunked, s.length, s.coding, s.old = scanRequestLine, 0, 0, false, -1, 0, false
}

func (s *scanner) endLine() *guardError {
	line, ok := bytes.CutSuffix(s.line, []byte("\r\n"))
	if !ok || bytes.ContainsAny(line, "\r\x00") {
		return violation("line without CRLF, or with a control character")
	}
	s.head += len(s.line)
	switch s.state {
	case scanRequestLine:
		if len(line) == 0 {
			return violation("empty request line")
		}
		s.reset()
		s.head = len(s.line)
		s.old = !bytes.HasSuffix(line, []byte(" HTTP/1.1"))
		s.state = scanHeader
		return nil
	case scanHeader:
		if len(line) == 0 {
			return s.endHead()
		}
		return s.headerLine(line)
	case scanTrailer:
		if len(line) == 0 {
			s.reset()
			return nil
		}
		name, err := fieldName(line)
		if err == nil && (is(name, "Content-Length") || is(name, "Transfer-Encoding")) {
			err = violation("%s in a trailer", name)
		}
		return err
	case scanChunkEnd:
		if len(line) != 0 {
			return violation("chunk is longer than its size")
		}
		s.state = scanChunkSize
		return nil
	}
	return s.chunkSize(line)
}

func (s *scanner) chunkSize(line []byte) *guardError {
	size, _, _ := bytes.Cut(line, []byte(";"))
	hex := string(size)
	if hex == "" || len(hex) > maxChunkHex {
		return violation("bad chunk size")
	}
	n, err := strconv.ParseUint(hex, 16, 63)
	if err != nil || strings.ContainsAny(hex, "+_xX") {
		return violation("bad chunk size")
	}
	s.left = int64(n)
	s.state = scanBody
	if n == 0 {
		s.state, s.head = scanTrailer, 0
	}
	return nil
}

// fieldName returns the name of a header line in strict form.
func fieldName(line []byte) ([]byte, *guardError) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, violation("folded header line")
	}
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return nil, violation("malformed header line")
	}
	return name, nil
}

// is compares a header name; the length check spares the fold for most names.
func is(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

func (s *scanner) headerLine(line []byte) *guardError {
	name, err := fieldName(line)
	if err != nil {
		return err
	}
	value := bytes.Trim(line[len(name)+1:], " \t")
	switch {
	case is(name, "Content-Length"):
		if s.length >= 0 {
			return violation("several Content-Length headers")
		}
		n, parseErr := strconv.ParseUint(string(value), 10, 63)
		if parseErr != nil || value[0] == '+' {
			return violation("bad Content-Length")
		}
		s.length = int64(n)
	case is(name, "Expect"):
		// net/http answers other expectations itself, without the fleet's headers.
		if !strings.EqualFold(string(value), "100-continue") {
			return violation("unknown expectation")
		}
	case is(name, "Transfer-Encoding"):
		s.coding++
		if s.coding > 1 || !strings.EqualFold(string(value), "chunked") {
			return violation("transfer coding other than chunked")
		}
	}
	return nil
}

// endHead decides how the body is framed.
func (s *scanner) endHead() *guardError {
	s.served = true
	switch {
	case s.coding > 0 && s.length >= 0:
		return violation("both Content-Length and Transfer-Encoding")
	case s.coding > 0 && s.old:
		return violation("Transfer-Encoding in a request that is not HTTP/1.1")
	case s.coding > 0:
		s.chunked, s.state = true, scanChunkSize
	case s.length > 0:
		s.left, s.state = s.length, scanBody
	default:
		s.reset()
	}
	return nil
}
