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

// limitedRig is a rig whose document bounds what callers may send. Its settings bound
// no time, so that only the document can end a connection.
func limitedRig(t *testing.T, c document.Callers) *rig {
	r := newRig(t, rigOptions{backends: 1, limits: Limits{HeaderTime: time.Hour, KeepAlive: time.Hour}})
	r.limit(c)
	return r
}

func (r *rig) limit(c document.Callers) {
	r.engine.index.Store(document.NewIndex(&document.Document{Format: document.Format, Callers: c}, 1))
}

// connect opens a connection that is closed at the test's end.
func (r *rig) connect(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", r.addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
	return c, bufio.NewReader(c)
}

const smallRequest = "GET /menu HTTP/1.1\r\nHost: a\r\nX-Request-Id: one\r\n\r\n"

func ask(t *testing.T, c net.Conn, in *bufio.Reader) {
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

// Guards against idle connections that outlive the document's limit, and against a
// limit that ends a request that is under way.
func TestIdleLimitOfTheDocument(t *testing.T) {
	t.Parallel()
	r := limitedRig(t, document.Callers{IdleTimeout: document.Duration(100 * time.Millisecond)})
	c, in := r.connect(t)
	ask(t, c, in)
	_, err := in.ReadByte()
	require.ErrorContains(t, err, "EOF")
	require.Equal(t, 200, r.get("/menu?work=500ms").status)
}

// Guards against a connection that is closed by an older document's limit while the
// newer one allows its caller to come back.
func TestLongerIdleLimitReachesOpenConnections(t *testing.T) {
	t.Parallel()
	r := limitedRig(t, document.Callers{IdleTimeout: document.Duration(2 * time.Second)})
	c, in := r.connect(t)
	ask(t, c, in)
	r.limit(document.Callers{IdleTimeout: document.Duration(time.Hour)})
	time.Sleep(2500 * time.Millisecond)
	ask(t, c, in)
}

// Guards against callers that hold a connection by sending a header slowly, on its
// first request and on later ones.
func TestHeaderTimeOfTheDocument(t *testing.T) {
	t.Parallel()
	r := limitedRig(t, document.Callers{HeaderTimeout: document.Duration(100 * time.Millisecond)})
	c, in := r.connect(t)
	ask(t, c, in)
	for range 2 {
		_, err := c.Write([]byte("GET /menu HTTP/1.1\r\nHo"))
		require.NoError(t, err)
		rest, err := io.ReadAll(in)
		require.NoError(t, err)
		require.NotContains(t, string(rest), "HTTP/1.1 2")
		c, in = r.connect(t)
	}
}

// Guards against headers beyond the document's limit, and against a document that
// allows more than the settings.
func TestHeaderSizeOfTheDocument(t *testing.T) {
	t.Parallel()
	r := limitedRig(t, document.Callers{MaxHeader: 1000})
	long := strings.Repeat("x", 1500)
	require.Equal(t, 431, r.get("/menu", "X-Long", long).status)
	require.Equal(t, 200, r.get("/menu", "X-Long", long[:200]).status)
	r.limit(document.Callers{MaxHeader: 1 << 20})
	require.Equal(t, 200, r.get("/menu", "X-Long", long).status)
	require.Equal(t, 431, r.get("/menu", "X-Long", strings.Repeat(long, 30)).status)
}
