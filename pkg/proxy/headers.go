package proxy

import (
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/propagation"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Prefixes of the proxy's own headers, which are not forwarded in either direction.
const (
	serverHeaderPrefix = "X-Fulmar-"
	callerHeaderPrefix = "Fulmar-"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// checkRequest rejects requests that net/http accepts but that cannot be forwarded safely.
func checkRequest(r *http.Request) *result.Error {
	switch {
	case r.Method == http.MethodConnect:
		return result.Errorf(result.BadRequest, "CONNECT is not supported")
	case r.Method == http.MethodTrace:
		return result.Errorf(result.BadRequest, "TRACE is not supported")
	case r.URL.Path == "" || r.URL.Path[0] != '/':
		return result.Errorf(result.BadRequest, "the request target has no path")
	case r.Header.Get("Upgrade") != "" || hasToken(r.Header.Values("Connection"), "upgrade"):
		return result.Errorf(result.BadRequest, "protocol upgrades are not supported")
	case hasDotSegment(r.URL.Path):
		return result.Errorf(result.BadRequest, "the path has dot segments")
	}
	return nil
}

// hasDotSegment reports whether a decoded path contains a "." or ".." segment. A server that resolves
// them would see a different path from the one that was routed.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		segment, _, _ = strings.Cut(segment, ";") // some servers strip path parameters before resolving dot segments
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func hasToken(values []string, token string) bool {
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(textproto.TrimString(t), token) {
				return true
			}
		}
	}
	return false
}

// endToEndHeaders returns a copy of in without hop-by-hop headers, headers named by Connection, and the
// proxy's own headers.
func endToEndHeaders(in http.Header) http.Header {
	out := make(http.Header, len(in)+4)
	for k, v := range in {
		if !strings.HasPrefix(k, serverHeaderPrefix) && !strings.HasPrefix(k, callerHeaderPrefix) {
			out[k] = v
		}
	}
	for _, v := range in["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// serverHeader returns the header of the request to the server.
func (x *exchange) serverHeader(sentID string, s fleet.Server) http.Header {
	h := endToEndHeaders(x.r.Header)
	x.replaceIdentity(h)
	d := x.p.dialect
	delete(h, "Expect") // 100 Continue is sent by the proxy itself, when it reads the body
	if hasToken(x.r.Header.Values("Te"), "trailers") {
		h["Te"] = []string{"trailers"}
	}
	if sentID != "" {
		h.Set(d.RequestID, sentID)
	}
	h.Set(d.Deadline, strconv.FormatInt(max(1, x.remaining().Milliseconds()), 10))
	if d.Target != "" {
		h.Set(d.Target, string(s.ID))
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	if d.OmitProxyHeaders {
		return h
	}
	h["Via"] = append(h["Via"][:len(h["Via"]):len(h["Via"])], protocolVersion(x.r)+" fulmarbeam")
	if ip, _, err := net.SplitHostPort(x.r.RemoteAddr); err == nil {
		if prior := h["X-Forwarded-For"]; len(prior) > 0 {
			ip = strings.Join(prior, ", ") + ", " + ip
		}
		h["X-Forwarded-For"] = []string{ip}
	}
	return h
}

func protocolVersion(r *http.Request) string {
	if r.ProtoAtLeast(1, 1) {
		return "1.1"
	}
	return "1.0"
}

// fingerprint returns a hash that identifies the request under its key. Of a body larger than the
// buffer it covers the buffered part and the declared length.
func (x *exchange) fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range []string{x.r.Method, x.r.Host, x.r.URL.EscapedPath(), x.r.URL.RawQuery, x.r.Header.Get("Content-Type"),
		strconv.FormatInt(x.body.size(), 10)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.body.buffered)
	return d.Sum64()
}

// idSource generates request IDs. The ID sent to a server is unique per attempt, so that an echoed ID
// distinguishes requests to which callers assigned the same ID.
type idSource struct {
	prefix string // random, so that the IDs of different VMs and processes differ
	next   atomic.Uint64
}

func newIDSource() *idSource {
	var b [8]byte
	for i, v := 0, rand.Uint64(); i < len(b); i, v = i+1, v>>8 {
		b[i] = byte(v)
	}
	return &idSource{prefix: hex.EncodeToString(b[:])}
}

// requestID returns the caller's ID if it is a single short token, otherwise a new ID.
func (s *idSource) requestID(values []string) string {
	if len(values) == 1 && values[0] != "" && len(values[0]) <= maxRequestIDLength {
		ok := func(r rune) bool { return r > 0x20 && r < 0x7f }
		if strings.IndexFunc(values[0], func(r rune) bool { return !ok(r) }) < 0 {
			return values[0]
		}
	}
	id, err := uuid.NewV7()
	if err != nil {
		return s.attemptID("r")
	}
	return id.String()
}

// attemptID returns the ID of one attempt: the request's ID, a dot and a unique suffix.
func (s *idSource) attemptID(request string) string {
	return request + "." + s.prefix + "-" + strconv.FormatUint(s.next.Add(1), 36)
}

// injectTrace sets the W3C trace context of the attempt's span.
func injectTrace(h http.Header, inject func(propagation.TextMapCarrier)) {
	delete(h, "Traceparent")
	delete(h, "Tracestate")
	inject(propagation.HeaderCarrier(h))
}
