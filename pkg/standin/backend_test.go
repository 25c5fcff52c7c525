package standin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startBackend(t *testing.T, c BackendConfig) *Backend {
	b, err := StartBackend(c)
	require.NoError(t, err)
	t.Cleanup(b.Close)
	return b
}

// noKeepAliveClient opens a connection for each request: on a reused connection
// net/http's client retries a GET that the server aborted, which would count twice.
var noKeepAliveClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func get(t *testing.T, url string, header ...string) (int, http.Header, string, error) {
	req, err := http.NewRequest("GET", url, nil)
	require.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := noKeepAliveClient.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(body), err
}

// Guards the ledger that other tests rely on: it holds the requests that ran, also
// those cancelled by the client or a deadline, and not those that were shed because all
// slots were busy or declined while draining.
func TestLedgerRecordsWhatRan(t *testing.T) {
	b := startBackend(t, BackendConfig{Slots: 2, EchoHeader: "X-Echo"})
	url := "http://" + b.Addr()
	status, h, body, err := get(t, url+"/a?size=40", "X-Request-Id", "r1.x", "Idempotency-Key", "k1")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "r1.x", h.Get("X-Echo"))
	require.Len(t, body, 40)
	require.True(t, strings.HasPrefix(body, Digest("GET", "/a?size=40", nil)))
	require.Len(t, b.RunsByRequestID("r1"), 1)
	require.Equal(t, RunDone, b.RunsByKey("k1")[0].Result)

	ctx, cancel := context.WithCancel(context.Background())
	for range 2 {
		go func() {
			req, _ := http.NewRequestWithContext(ctx, "GET", url+"/hold?work=1h", nil)
			_, _ = noKeepAliveClient.Do(req)
		}()
	}
	require.Eventually(t, func() bool { return b.Counts().Running == 2 }, time.Minute, time.Millisecond)
	status, h, _, _ = get(t, url+"/a", "X-Request-Id", "shed.x")
	require.Equal(t, []any{503, "1"}, []any{status, h.Get("X-Fulmar-Shed")})
	require.Empty(t, b.RunsByRequestID("shed"))
	cancel()
	require.Eventually(t, func() bool { return b.Counts().Cancelled == 2 }, time.Minute, time.Millisecond)
	_, _, _, err = get(t, url+"/a?work=1h", "X-Fulmar-Deadline-Ms", "20")
	require.Error(t, err)
	require.Eventually(t, func() bool { return b.Counts().Cancelled == 3 }, time.Minute, time.Millisecond)
	require.Equal(t, 2, b.Counts().PeakRunning)

	b.Drain(true)
	_, h, _, _ = get(t, url+"/a", "X-Request-Id", "declined.x")
	require.Equal(t, []string{"1", "1"}, []string{h.Get("X-Fulmar-Declined"), h.Get("X-Fulmar-Draining")})
	require.Empty(t, b.RunsByRequestID("declined"))
	b.Drain(false)
}

// Guards the simulated gray failures that tests of failure detection rely on: health
// probes pass while requests fail, the seed determines which requests fail, a flapping
// server alternates between faulty and healthy, and the health endpoint reports what
// was set, after the lag.
func TestFaultModes(t *testing.T) {
	failurePattern := func(seed uint64) string {
		b := startBackend(t, BackendConfig{Seed: seed})
		b.SetMode(Mode{Fault: FaultError, FailShare: 0.3})
		var out strings.Builder
		for range 60 {
			status, _, _, err := get(t, "http://"+b.Addr()+"/a")
			require.NoError(t, err)
			out.WriteByte("01"[status/500])
		}
		status, _, _, _ := get(t, "http://"+b.Addr()+"/health")
		require.Equal(t, 200, status)
		return out.String()
	}
	pattern := failurePattern(5)
	require.Equal(t, pattern, failurePattern(5))
	require.NotEqual(t, pattern, failurePattern(6))
	require.InDelta(t, 18, strings.Count(pattern, "1"), 12)

	b := startBackend(t, BackendConfig{})
	control := httptest.NewServer(b.Control())
	defer control.Close()
	put := func(path, body string) int {
		req, err := http.NewRequest("PUT", control.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	require.Equal(t, 204, put("/mode", `{"fault":"error","period":40000000}`))
	seen := map[int]bool{}
	require.Eventually(t, func() bool {
		status, _, _, _ := get(t, "http://"+b.Addr()+"/a")
		seen[status] = true
		return seen[200] && seen[500]
	}, time.Minute, time.Millisecond)
	require.Equal(t, 400, put("/mode", `{"falt":"error"}`))
	require.Equal(t, 204, put("/health", `{"status":500,"load":0.9,"lag":3600000000000}`))
	status, _, _, _ := get(t, "http://"+b.Addr()+"/health")
	require.Equal(t, 200, status, "the report lags")
	require.Equal(t, 204, put("/health", `{"status":500,"load":0.9}`))
	status, _, body, _ := get(t, "http://"+b.Addr()+"/health")
	require.Equal(t, 500, status)
	require.Contains(t, body, `"load":0.9`)
}
