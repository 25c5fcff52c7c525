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

// Prefixes of the fleet's own headers, which pass in neither direction.
const (
	serverHeaderPrefix = "X-Fulmar-"
	callerHeaderPrefix = "Fulmar-"
)

// hopByHop lists the headers that concern one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// checkForm refuses what net/http accepts but cannot be passed on safely.
func checkForm(r *http.Request) *result.Error {
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

// hasDotSegment reports whether a decoded path holds "." or "..". A server that
// resolves them would see another path than the one that was routed.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		segment, _, _ = strings.Cut(segment, ";") // some servers drop path parameters first
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

// endToEnd copies the headers that pass through: no hop-by-hop headers, none that
// Connection names, and none of the fleet's own.
func endToEnd(in http.Header) http.Header {
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

// serverHeader builds the header towards the server.
func (x *exchange) serverHeader(sentID string, s fleet.Server) http.Header {
	h := endToEnd(x.r.Header)
	d := x.p.dialect
	delete(h, "Expect") // the body is read here, so 100-continue was answered here
	if hasToken(x.r.Header.Values("Te"), "trailers") {
		h["Te"] = []string{"trailers"}
	}
	if sentID != "" {
		h.Set(d.RequestID, sentID)
	}
	h.Set(d.Deadline, strconv.FormatInt(max(1, x.left().Milliseconds()), 10))
	if d.Target != "" {
		h.Set(d.Target, string(s.ID))
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	if d.Plain {
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

// fingerprint identifies the request under its key. A body beyond the buffer counts
// with its first part and its declared length.
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

// idSource makes request ids. The id that a server sees is unique for each attempt,
// so that an echoed id tells apart requests to which callers gave the same id.
type idSource struct {
	prefix string
	next   atomic.Uint64
}

func newIDSource() *idSource {
	var b [8]byte
	for i, v := 0, rand.Uint64(); i < len(b); i, v = i+1, v>>8 {
		b[i] = byte(v)
	}
	return &idSource{prefix: hex.EncodeToString(b[:])}
}

// requestID returns the caller's id if it is one short token, else a new one.
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

// attemptID returns the id of one attempt: the request's id, a dot and a suffix.
func (s *idSource) attemptID(request string) string {
	return request + "." + s.prefix + "-" + strconv.FormatUint(s.next.Add(1), 36)
}

// injectTrace adds the W3C trace context of the attempt's span.
func injectTrace(h http.Header, inject func(propagation.TextMapCarrier)) {
	delete(h, "Traceparent")
	delete(h, "Tracestate")
	inject(propagation.HeaderCarrier(h))
}
