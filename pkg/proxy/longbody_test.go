package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
)

// longBody is larger than what the sockets' buffers hold, in bytes.
const longBody = 16 << 20

// startLongBodyServer starts a server that answers each request before it reads the body.
func startLongBodyServer(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReaderSize(c, 4<<10))
				if err != nil {
					return
				}
				answer(c.(*net.TCPConn), r)
			}()
		}
	}()
	return l.Addr().String()
}

// newLongBodyProxy returns a proxy for long bodies before a server that startLongBodyServer started.
func newLongBodyProxy(t *testing.T, addr string, limits Limits) *testProxy {
	limits.BufferUnsizedResponses = true
	tp := newTestProxy(t, testProxyOptions{addrs: []string{addr}, limits: limits})
	tp.table.service.CloseDelimited = true
	tp.table.routes["/book"] = document.Route{Service: "ticket-desk", Deadline: document.Duration(20 * time.Second), MaxBody: 2 * longBody}
	return tp
}

// Guards against a part of a response that passes for the whole one: the response has no length, and its connection is
// reset while the request's body is still being sent. A response longer than the buffer is streamed.
func TestResetResponseWithoutLengthIsIncomplete(t *testing.T) {
	const tries = 12 // before the fix, about three in four passed for complete
	for _, length := range []int{1000, 200_000} {
		addr := startLongBodyServer(t, func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("b", length))
			_, _ = io.CopyN(io.Discard, c, 1<<20) // the response was sent, the request was not
			_ = c.SetLinger(0)
		})
		tp := newLongBodyProxy(t, addr, Limits{})
		for range tries {
			resp := tp.do(context.Background(), http.MethodPut, "/book", strings.NewReader(strings.Repeat("x", longBody)))
			require.False(t, resp.err == nil && resp.status == http.StatusOK, "%d bytes passed for a complete response", len(resp.body))
		}
	}
}

// Guards against a complete response without a length that is taken for a broken one, because the server closes the
// connection without reading the request's body to its end.
func TestEarlyResponseWithoutLengthIsDelivered(t *testing.T) {
	body := strings.Repeat("b", 4000)
	addr := startLongBodyServer(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	tp := newLongBodyProxy(t, addr, Limits{})
	resp := tp.do(context.Background(), http.MethodPut, "/book", strings.NewReader(strings.Repeat("x", longBody)))
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusOK, resp.status)
	require.Equal(t, body, resp.body)
}

// Guards against a server that reads a long body late and is taken for one that cannot be reached: the window of its
// connection is closed for much longer than the send timeout, while it acknowledges all probes.
func TestServerThatReadsLateIsNotUnresponsive(t *testing.T) {
	const sendTimeout, pause = 50 * time.Millisecond, time.Second
	for _, framing := range []string{"Content-Length: 2", "Connection: close"} {
		addr := startLongBodyServer(t, func(c *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framing+"\r\n\r\no")
			time.Sleep(pause)
			_, _ = io.WriteString(c, "k")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		})
		tp := newLongBodyProxy(t, addr, Limits{SendTimeout: sendTimeout})
		resp := tp.do(context.Background(), http.MethodPut, "/book", strings.NewReader(strings.Repeat("x", longBody)))
		require.NoError(t, resp.err)
		require.Equal(t, http.StatusOK, resp.status, resp.body)
		require.Equal(t, "ok", resp.body)
	}
}

// Guards against a planned stop that breaks off requests with long bodies while their server works on them, before it has
// read the body or after the start of its response.
func TestShutdownServesRequestsWithLongBodies(t *testing.T) {
	const sendTimeout, work = 50 * time.Millisecond, time.Second
	for _, early := range []bool{false, true} {
		const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
		arrived := make(chan struct{}, 1)
		addr := startLongBodyServer(t, func(c *net.TCPConn, r *http.Request) {
			if early {
				_, _ = io.WriteString(c, head+"do")
			}
			arrived <- struct{}{}
			time.Sleep(work)
			if early {
				_, _ = io.WriteString(c, "ne")
			} else {
				_, _ = io.WriteString(c, head+"done")
			}
			_, _ = io.Copy(io.Discard, r.Body)
		})
		tp := newLongBodyProxy(t, addr, Limits{SendTimeout: sendTimeout})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		sp := &shutdownProxy{testProxy: tp, server: tp.proxy.NewServer(), ln: l}
		sp.serve()
		tp.addr = l.Addr().String()
		answered := make(chan callerResponse, 1)
		go func() {
			answered <- tp.do(context.Background(), http.MethodPut, "/book", strings.NewReader(strings.Repeat("x", longBody)))
		}()
		<-arrived
		sp.shutdown(t)
		resp := <-answered
		require.NoError(t, resp.err)
		require.Equal(t, http.StatusOK, resp.status, resp.body)
		require.Equal(t, "done", resp.body)
	}
}
