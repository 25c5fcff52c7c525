package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// noticeDialect returns the default dialect with names for all notices.
func noticeDialect() *Dialect {
	d := DefaultDialect()
	d.RateLimit, d.RetryAfter = "X-Limit", "Retry-After"
	return &d
}

// Guards against notices that are misread: numbers that are no decimals, are repeated or too large must not pass
// for a limit or a pause, and a delay in another response than a 503 is no pause.
func TestNoticesOfResponses(t *testing.T) {
	limited := func(rate float64) pool.ServerNotice {
		return pool.ServerNotice{HasRateLimit: true, RateLimit: rate}
	}
	invalid := pool.ServerNotice{InvalidRateLimit: true}
	for _, c := range []struct {
		status int
		header []string
		want   pool.ServerNotice
	}{
		{200, nil, pool.ServerNotice{}},
		{200, []string{"X-Limit", "4.5"}, limited(4.5)},
		{500, []string{"X-Limit", "0"}, limited(0)},
		{503, []string{"X-Limit", "1e400"}, limited(maxRateLimit)},
		{200, []string{"X-Limit", "-1"}, invalid},
		{200, []string{"X-Limit", "NaN"}, invalid},
		{200, []string{"X-Limit", "Infinity"}, invalid},
		{200, []string{"X-Limit", ""}, invalid},
		{200, []string{"X-Limit", "4 requests"}, invalid},
		{200, []string{"X-Limit", "4", "X-Limit", "5"}, invalid},
		{404, []string{"X-Fulmar-Draining", "1"}, pool.ServerNotice{Leaving: true}},
		{503, []string{"Retry-After", "2.5"}, pool.ServerNotice{Pause: 2500 * time.Millisecond}},
		{503, []string{"Retry-After", "1e300"}, pool.ServerNotice{Pause: maxPause}},
		{503, []string{"Retry-After", "-2"}, pool.ServerNotice{}},
		{503, []string{"Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT"}, pool.ServerNotice{}},
		{200, []string{"Retry-After", "2"}, pool.ServerNotice{}},
		{429, []string{"Retry-After", "2"}, pool.ServerNotice{}},
	} {
		resp := &http.Response{StatusCode: c.status, Header: http.Header{}}
		for i := 0; i+1 < len(c.header); i += 2 {
			resp.Header.Add(c.header[i], c.header[i+1])
		}
		require.Equal(t, c.want, noticeDialect().notice(resp), "%d %v", c.status, c.header)
	}
}

// Guards against notices that are lost with the kind of response that carries them: of each response the engine must
// learn before the caller gets it, and again with the end of the attempt.
func TestNoticesReachTheEngine(t *testing.T) {
	for _, head := range []string{
		"200 OK", "404 Not Found", "500 Internal Server Error", "503 Service Unavailable", "503 Service Unavailable\r\nX-Fulmar-Shed: 1",
		"503 Service Unavailable\r\nX-Fulmar-Declined: 1",
	} {
		s := startScriptedServer(t, func(c net.Conn, _ int, _ *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Fulmar-Draining: 1\r\nContent-Length: 2\r\n\r\nok", head)
			return true
		})
		tp := newTestProxy(t, testProxyOptions{addrs: []string{s.ln.Addr().String()}})
		tp.post("/book", "x")
		want := pool.ServerNotice{Leaving: true}
		tp.engine.mu.Lock()
		require.Equal(t, []pool.ServerNotice{want}, tp.engine.notices, head)
		require.Equal(t, want, tp.engine.ends[0].Notice, head)
		require.NotZero(t, tp.engine.ends[0].RespondedAt, head)
		tp.engine.mu.Unlock()
	}
}

// Guards against a notice that the engine learns of only at the end of a long response.
func TestNoticeOfStreamedResponseIsNotDelayed(t *testing.T) {
	finish := make(chan struct{})
	s := startScriptedServer(t, func(c net.Conn, _ int, _ *http.Request) bool {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Fulmar-Draining: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"))
		<-finish
		_, _ = c.Write([]byte("0\r\n\r\n"))
		return true
	})
	tp := newTestProxy(t, testProxyOptions{addrs: []string{s.ln.Addr().String()}})
	done := make(chan callerResponse)
	go func() { done <- tp.get("/menu") }()
	eventually(t, "the notice during the response", func() bool {
		tp.engine.mu.Lock()
		defer tp.engine.mu.Unlock()
		return len(tp.engine.notices) == 1 && len(tp.engine.ends) == 0
	})
	close(finish)
	require.Equal(t, "ok", (<-done).body)
}

// Guards against notices of a response that belongs to another request.
func TestNoticeOfCrossedResponseIsIgnored(t *testing.T) {
	s := startScriptedServer(t, func(c net.Conn, _ int, _ *http.Request) bool {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Echo: another\r\nX-Fulmar-Draining: 1\r\nContent-Length: 2\r\n\r\nok"))
		return true
	})
	tp := newTestProxy(t, testProxyOptions{addrs: []string{s.ln.Addr().String()}, echo: "X-Echo"})
	tp.post("/book", "x")
	tp.engine.mu.Lock()
	defer tp.engine.mu.Unlock()
	require.Empty(t, tp.engine.notices)
	require.Equal(t, pool.ServerNotice{}, tp.engine.ends[0].Notice)
}
