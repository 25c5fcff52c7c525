package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
)

// newLimitedProxy starts a proxy whose document limits what callers may send. Its settings have no
// effective timeouts, so that only the document can end a connection.
func newLimitedProxy(t *testing.T, c document.Callers) *testProxy {
	tp := newTestProxy(t, testProxyOptions{backends: 1, limits: Limits{HeaderTimeout: time.Hour, IdleTimeout: time.Hour}})
	tp.setLimits(c)
	return tp
}

func (tp *testProxy) setLimits(c document.Callers) {
	tp.engine.index.Store(document.NewIndex(&document.Document{Format: document.Format, Callers: c}, 1))
}

// connect opens a connection that is closed at the end of the test.
func (tp *testProxy) connect(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", tp.addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	return c, bufio.NewReader(c)
}

const smallRequest = "GET /menu HTTP/1.1\r\nHost: a\r\nX-Request-Id: one\r\n\r\n"

func exchangeSmallRequest(t *testing.T, c net.Conn, in *bufio.Reader) {
	t.Helper()
	_, err := c.Write([]byte(smallRequest))
	require.NoError(t, err)
	resp, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	resp.Body.Close()
}

// Guards against idle connections that stay open beyond the document's limit, and against a limit that
// interrupts a request in progress.
func TestDocumentIdleTimeout(t *testing.T) {
	t.Parallel()
	tp := newLimitedProxy(t, document.Callers{IdleTimeout: document.Duration(100 * time.Millisecond)})
	c, in := tp.connect(t)
	exchangeSmallRequest(t, c, in)
	_, err := in.ReadByte()
	require.ErrorContains(t, err, "EOF")
	require.Equal(t, 200, tp.get("/menu?work=500ms").status)
}

// Guards against a connection that is closed by the limit of an earlier document although the current
// one allows a longer idle time.
func TestLongerIdleTimeoutAppliesToOpenConnections(t *testing.T) {
	t.Parallel()
	tp := newLimitedProxy(t, document.Callers{IdleTimeout: document.Duration(2 * time.Second)})
	c, in := tp.connect(t)
	exchangeSmallRequest(t, c, in)
	tp.setLimits(document.Callers{IdleTimeout: document.Duration(time.Hour)})
	time.Sleep(2500 * time.Millisecond)
	exchangeSmallRequest(t, c, in)
}

// Guards against callers that occupy a connection by sending a header slowly, in its first request or
// in a later one.
func TestDocumentHeaderTimeout(t *testing.T) {
	t.Parallel()
	tp := newLimitedProxy(t, document.Callers{HeaderTimeout: document.Duration(100 * time.Millisecond)})
	c, in := tp.connect(t)
	exchangeSmallRequest(t, c, in)
	for range 2 {
		_, err := c.Write([]byte("GET /menu HTTP/1.1\r\nHo"))
		require.NoError(t, err)
		rest, err := io.ReadAll(in)
		require.NoError(t, err)
		require.NotContains(t, string(rest), "HTTP/1.1 2")
		c, in = tp.connect(t)
	}
}

// Guards against headers that exceed the document's limit, and against a document that raises the limit
// of the settings.
func TestDocumentHeaderSizeLimit(t *testing.T) {
	t.Parallel()
	tp := newLimitedProxy(t, document.Callers{MaxHeader: 1000})
	long := strings.Repeat("x", 1500)
	require.Equal(t, 431, tp.get("/menu", "X-Long", long).status)
	require.Equal(t, 200, tp.get("/menu", "X-Long", long[:200]).status)
	tp.setLimits(document.Callers{MaxHeader: 1 << 20})
	require.Equal(t, 200, tp.get("/menu", "X-Long", long).status)
	require.Equal(t, 431, tp.get("/menu", "X-Long", strings.Repeat(long, 30)).status)
}
