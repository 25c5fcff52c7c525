package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against forwarding hop-by-hop and internal headers in either direction, and against losing
// trailers, 1xx responses and the trace context.
func TestHeadersAndTrailers(t *testing.T) {
	var got *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got = r
		w.Header().Set("Link", "</a>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("X-Fulmar-Draining", "1")
		w.Header().Set("Fulmar-Code", "0")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "a")
		w.Header().Set("X-End", "b")
		w.Header().Set("Trailer", "X-Sum")
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X-Sum", "s")
	}))
	defer server.Close()
	tp := newTestProxy(t, testProxyOptions{addrs: []string{server.Listener.Addr().String()}})
	req, err := http.NewRequest("POST", "http://"+tp.addr+"/book/a%2Fb?q=%20", io.MultiReader(strings.NewReader("hello")))
	require.NoError(t, err)
	req.Host = "tickets.example"
	req.Trailer = http.Header{"X-Up": {"t"}}
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	for k, v := range map[string]string{"X-Fulmar-Shed": "1", "Fulmar-Outcome": "x", "Connection": "X-Secret", "X-Secret": "a", "Expect": "100-continue",
		"X-Request-Id": "mine", "X-Forwarded-For": "10.0.0.1", "Traceparent": parent, "Te": "trailers", "X-Plain": "p"} {
		req.Header.Set(k, v)
	}
	hints, continued := 0, 0
	resp, err := tp.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		Got100Continue: func() { continued++ },
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints && h.Get("Link") == "</a>" {
				hints++
			}
			return nil
		},
	})))
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, "body", string(body))
	require.Equal(t, []int{1, 1}, []int{hints, continued})
	for _, h := range []string{"X-Fulmar-Draining", "Fulmar-Code", "X-Hop"} {
		require.Empty(t, resp.Header.Values(h), h)
	}
	require.Equal(t, "b", resp.Header.Get("X-End"))
	require.Equal(t, "s", resp.Trailer.Get("X-Sum"))

	require.Equal(t, "/book/a%2Fb?q=%20", got.RequestURI)
	require.Equal(t, "tickets.example", got.Host)
	require.Equal(t, "t", got.Trailer.Get("X-Up"))
	for _, h := range []string{"X-Fulmar-Shed", "Fulmar-Outcome", "X-Secret", "Expect"} {
		require.Empty(t, got.Header.Values(h), h)
	}
	require.Equal(t, "p", got.Header.Get("X-Plain"))
	require.NotEmpty(t, got.Header.Get("X-Fulmar-Deadline-Ms"))
	require.True(t, strings.HasPrefix(got.Header.Get("X-Request-Id"), "mine."))
	require.Equal(t, "10.0.0.1, 127.0.0.1", got.Header.Get("X-Forwarded-For"))
	require.Contains(t, got.Header.Get("Traceparent"), "0af7651916cd43dd8448eb211c80319c")

	var out bytes.Buffer
	tp.proxy.metrics.set.WritePrometheus(&out)
	require.Regexp(t, `fulmarbeam_region_bytes_total\{region="hawassa"\} [1-9]`, out.String())
	require.Contains(t, out.String(), `fulmarbeam_attempts_total{service="ticket-desk",end="draining"} 1`)
}

// Guards against wrong body framing: responses to HEAD, 204 and 304 have no body, lengths are forwarded,
// and connections stay synchronized.
func TestResponsesWithoutBody(t *testing.T) {
	tp := newTestProxy(t, testProxyOptions{backends: 1, echo: "X-Echo"})
	for range 3 {
		for _, c := range []struct {
			method, path string
			status       int
			length       string
		}{
			{"HEAD", "/menu?size=100000", 200, "100000"}, {"GET", "/menu?status=204", 204, ""}, {"GET", "/menu?status=304", 304, ""},
			{"GET", "/menu?status=404", 404, "16"}, {"GET", "/menu?chunked=1&size=100000", 200, ""}, {"GET", "/menu?size=100000", 200, "100000"},
		} {
			resp := tp.do(t.Context(), c.method, c.path, nil)
			require.NoError(t, resp.err)
			tp.checkInvariants(resp, true)
			require.Equal(t, c.status, resp.status)
			require.Equal(t, c.length, resp.header.Get("Content-Length"), c.path)
			require.Equal(t, resp.id, resp.header.Get("X-Echo"))
			if strings.Contains(c.path, "chunked") {
				require.Equal(t, resp.wantDigest, resp.trailer.Get("X-Standin-Trailer"))
				require.Len(t, resp.body, 100000)
			}
		}
	}
	require.Equal(t, 1, tp.backends[0].Counts().ConnectionsAccepted, "the connection was reused")
	// An HTTP/1.0 caller cannot detect an aborted response: long ones are refused.
	require.Contains(t, tp.sendRaw("GET /menu?chunked=1&size=20 HTTP/1.0\r\n\r\n"), "Content-Length: 20\r\n")
	require.Contains(t, tp.sendRaw("GET /menu?chunked=1&size=100000 HTTP/1.0\r\n\r\n"), "Fulmar-Code: 3004\r\n")
}

// benchDo sends one request on an open connection.
func benchDo(b *testing.B, client *http.Client, url string) {
	resp, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 {
		b.Fatal(resp.Status, err)
	}
	resp.Body.Close()
}

// BenchmarkRequest compares a proxied request with a direct one on loopback. The difference is the time
// and the allocations added by the proxy.
func BenchmarkRequest(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "supper")
	})}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	tp := newTestProxy(b, testProxyOptions{addrs: []string{l.Addr().String()}})
	for name, addr := range map[string]string{"direct": l.Addr().String(), "proxied": tp.addr} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchDo(b, tp.client, "http://"+addr+"/menu")
			}
		})
	}
}
