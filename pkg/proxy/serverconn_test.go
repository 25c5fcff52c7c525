package proxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"golang.org/x/sys/unix"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/netutil"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

func allowDispatch() error { return nil }

// Guards against the outcome "unknown" for a request on a connection that the server has closed: the
// end of the stream is detected before the first byte is sent, which proves that the request did not run.
func TestClosedIdleConnectionRefusesFirstByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	d, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	c, err := newServerConn(d.(*net.TCPConn), 0, connHooks{bytes: func(int) {}, closed: func() {}})
	require.NoError(t, err)
	defer c.Close()
	peer, err := l.Accept()
	require.NoError(t, err)

	wire := &wireAttempt{checkDispatch: allowDispatch}
	wire.gotConn(c, false)
	_, err = c.Write([]byte("first"))
	require.NoError(t, err)
	require.True(t, wire.seal())

	peer.Close()
	eventually(t, "end of stream received", func() bool { return c.checkPendingInput() != nil })
	wire = &wireAttempt{checkDispatch: allowDispatch}
	wire.gotConn(c, true)
	_, err = c.Write([]byte("second"))
	require.Equal(t, errServerClosed, err)
	require.Equal(t, errServerClosed, wire.refusal())
	require.False(t, wire.seal())
	require.Zero(t, wire.writtenBytes.Load())

	// After seal no byte is sent, even if the transport still tries.
	wire = &wireAttempt{checkDispatch: allowDispatch}
	require.False(t, wire.seal())
	require.Equal(t, errAttemptOver, wire.beginSend())
}

// Guards against accepting as the response bytes that http.Transport had buffered before the request was
// sent: it makes a connection available again before it inspects the rest of its buffer. The test stops it
// at that point.
func TestBufferedStrayResponseIsDetected(t *testing.T) {
	s := startScriptedServer(t, func(conn net.Conn, nth int, r *http.Request) bool {
		if nth == 0 {
			_, _ = conn.Write([]byte(plainOK + "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
		}
		return true
	})
	tp := newTestProxy(t, testProxyOptions{addrs: []string{s.ln.Addr().String()}})
	rt, release := tp.proxy.transports.get(tp.engine.servers[0])
	defer release()
	connIdle, resume, wrote := make(chan struct{}), make(chan struct{}), make(chan struct{})
	send := func(wire *wireAttempt, trace httptrace.ClientTrace) (int, error) {
		trace.GotConn = func(i httptrace.GotConnInfo) { wire.gotConn(i.Conn, i.Reused) }
		trace.GotFirstResponseByte = wire.firstResponseByte
		req, err := http.NewRequest("POST", "http://"+s.ln.Addr().String()+"/", strings.NewReader("x"))
		require.NoError(t, err)
		resp, err := rt.RoundTrip(req.WithContext(httptrace.WithClientTrace(t.Context(), &trace)))
		if err != nil {
			return 0, err
		}
		buf := make([]byte, 8)
		for err == nil {
			_, err = resp.Body.Read(buf)
		}
		return resp.StatusCode, nil
	}
	first, second := &wireAttempt{checkDispatch: allowDispatch}, &wireAttempt{checkDispatch: allowDispatch}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = send(first, httptrace.ClientTrace{PutIdleConn: func(err error) {
			first.putIdle(err)
			close(connIdle)
			<-resume
		}})
	}()
	<-connIdle
	go func() {
		<-wrote
		close(resume)
	}()
	status, err := send(second, httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(wrote) }})
	<-done
	require.False(t, first.strayResponse.Load())
	require.Equal(t, 404, status, "%v", err) // what net/http returns as the response
	require.True(t, second.strayResponse.Load())
}

// Guards against a stage of a request that has no span, and against spans of different traces.
func TestSpanPerStage(t *testing.T) {
	tp := newTestProxy(t, testProxyOptions{backends: 2, retries: 1, budget: 1})
	spans := tracetest.NewSpanRecorder()
	provider := trace.NewTracerProvider(trace.WithSpanProcessor(spans))
	tp.proxy.tracer = provider.Tracer("test")
	tp.backends[0].Drain(true)
	require.Equal(t, 200, tp.post("/book", "x", "Idempotency-Key", "k").status)
	eventually(t, "request span ended", func() bool { return len(spans.Ended()) == 6 })
	names := map[string]int{}
	for _, s := range spans.Ended() {
		names[s.Name()]++
		require.Equal(t, spans.Ended()[0].SpanContext().TraceID(), s.SpanContext().TraceID())
	}
	require.Equal(t, map[string]int{"request": 1, "reserve key": 1, "queue": 2, "attempt": 2}, names)
}

// Guards against a caller that stops reading and occupies a server's slot.
func TestStalledCallerIsDisconnected(t *testing.T) {
	t.Parallel()
	tp := newTestProxy(t, testProxyOptions{backends: 1, limits: Limits{WriteTimeout: 100 * time.Millisecond}})
	c, err := net.Dial("tcp", tp.addr)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("GET /menu?size=33554432 HTTP/1.1\r\nHost: a\r\n\r\n"))
	require.NoError(t, err)
	eventually(t, "slot freed", func() bool { return tp.engine.lastEnd() != 0 && tp.engine.idle() })
}

// Guards against transports that are kept after their servers were removed, and against reusing a
// transport after a server's address changed.
func TestUnusedTransportsAreEvicted(t *testing.T) {
	var now fleet.Time
	table := newTransports(DefaultLimits(), "addis", newProxyMetrics(newTestProxy(t, testProxyOptions{}).proxy.metrics.set), func() fleet.Time { return now })
	one, release := table.get(fleet.Server{ID: "a", Addr: "127.0.0.1:1"})
	again, releaseAgain := table.get(fleet.Server{ID: "a", Addr: "127.0.0.1:1"})
	require.Same(t, one, again)
	moved, releaseMoved := table.get(fleet.Server{ID: "a", Addr: "127.0.0.1:2"})
	require.NotSame(t, one, moved)
	release()
	releaseAgain()
	now = now.Add(10 * time.Minute)
	_, releaseOther := table.get(fleet.Server{ID: "b", Addr: "127.0.0.1:3"})
	require.Len(t, table.byServer, 2, "a is in use")
	releaseMoved()
	releaseOther()
	now = now.Add(2 * time.Second)
	_, releaseOther = table.get(fleet.Server{ID: "b", Addr: "127.0.0.1:3"})
	defer releaseOther()
	require.Len(t, table.byServer, 1)
	require.Equal(t, result.NotReady, func() result.Code {
		tp := newTestProxy(t, testProxyOptions{})
		tp.proxy.routeTable = func() RouteTable { return nil }
		return tp.get("/menu").code()
	}())
}

// dialServerConn returns a connection on which the start of a request was sent, and the server's end of it.
func dialServerConn(t *testing.T) (*serverConn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	d, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	c, err := newServerConn(d.(*net.TCPConn), 0, connHooks{bytes: func(int) {}, closed: func() {}})
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	peer, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	wire := &wireAttempt{checkDispatch: allowDispatch}
	wire.gotConn(c, false)
	_, err = c.Write([]byte("start of a request"))
	require.NoError(t, err)
	return c, peer.(*net.TCPConn)
}

// Guards against a reset that a write finds first, and that the reads then take for the end of the server's response.
func TestFailureFoundByAWriteEndsTheReads(t *testing.T) {
	c, peer := dialServerConn(t)
	_, err := peer.Write([]byte("part of a response"))
	require.NoError(t, err)
	buf := make([]byte, 4)
	_, err = io.ReadFull(c, buf)
	require.NoError(t, err)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	eventually(t, "the write fails", func() bool {
		_, err := c.Write([]byte("x"))
		return err != nil
	})
	rest, err := io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Equal(t, " of a response", string(rest))
}

// Guards against a server that cannot be reached any more and is waited for until the deadline, and against bytes that
// reach it later. The kernel's state is a fake, since no packet is lost on a loopback address.
func TestUnresponsiveServerIsGivenUp(t *testing.T) {
	c, peer := dialServerConn(t)
	var unresponsive atomic.Int32
	c.mu.Lock()
	c.sendTimeout = 20 * time.Millisecond
	c.readAcks = func() (netutil.AckState, error) { return netutil.AckState{Outstanding: true, SinceAck: time.Hour}, nil }
	c.hooks.unresponsive = func() { unresponsive.Add(1) }
	c.watchAcks()
	c.mu.Unlock()
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, longBody))
		sent <- err
	}()
	_, err := io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ETIMEDOUT)
	require.ErrorIs(t, <-sent, syscall.ETIMEDOUT)
	_, err = io.Copy(io.Discard, peer)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Equal(t, int32(1), unresponsive.Load())
}

// Guards against a connection that is checked although no request is on it, and closed for what the last one left behind.
func TestIdleConnectionIsNotWatched(t *testing.T) {
	c, _ := dialServerConn(t)
	c.mu.Lock()
	c.sendTimeout = time.Nanosecond
	c.readAcks = func() (netutil.AckState, error) { return netutil.AckState{Outstanding: true}, nil }
	wire := c.owner
	c.mu.Unlock()
	wire.putIdle(nil)
	for range 3 {
		require.False(t, c.isUnresponsive(time.Now()))
	}
}

// Guards against a complete response that is taken for a broken one, because the server closed the connection after it
// while the request was still being sent.
func TestEndBeforeAResetIsTheEnd(t *testing.T) {
	c, peer := dialServerConn(t)
	_, err := peer.Write([]byte("a whole response"))
	require.NoError(t, err)
	require.NoError(t, peer.CloseWrite())
	eventually(t, "end of stream received", func() bool { return tcpState(t, c) == tcpCloseWait })
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	eventually(t, "the write fails", func() bool {
		_, err := c.Write([]byte("x"))
		return err != nil
	})
	all, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "a whole response", string(all))
}

const tcpCloseWait = 8 // TCP_CLOSE_WAIT of linux/tcp_states.h

func tcpState(t *testing.T, c *serverConn) (state uint8) {
	require.NoError(t, c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		state = info.State
	}))
	return state
}
