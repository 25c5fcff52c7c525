package faultproxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoServer starts a TCP server that sends back what it receives.
func echoServer(t *testing.T) string {
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
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards the faults that other tests rely on, changed while the proxy runs.
func TestFaults(t *testing.T) {
	p, err := Start(echoServer(t), 1)
	require.NoError(t, err)
	defer p.Close()
	// exchange sends text, closes its direction and returns what it receives.
	exchange := func(text string) (string, error) {
		c, err := net.Dial("tcp", p.Addr())
		if err != nil {
			return "", err
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(time.Minute))
		if _, err := c.Write([]byte(text)); err != nil {
			return "", err
		}
		_ = c.(*net.TCPConn).CloseWrite()
		out, err := io.ReadAll(c)
		return string(out), err
	}
	out, err := exchange("hello")
	require.NoError(t, err)
	require.Equal(t, "hello", out)

	p.SetFaults(Faults{Up: FlowFaults{Delay: time.Millisecond, Jitter: time.Millisecond, Bandwidth: 1 << 20}})
	out, err = exchange(strings.Repeat("x", 100000))
	require.NoError(t, err)
	require.Len(t, out, 100000)

	p.SetFaults(Faults{Down: FlowFaults{CloseAfter: 3}})
	out, err = exchange("hello")
	if err == nil { // an early close may also appear as a reset
		require.Equal(t, "hel", out)
	}
	p.SetFaults(Faults{Down: FlowFaults{ResetAfter: 3}})
	_, err = exchange("hello")
	require.Error(t, err)
	p.SetFaults(Faults{Refuse: true})
	_, err = exchange("hello")
	require.Error(t, err)

	// Drop discards bytes without closing the connection, which works again once the fault is removed.
	p.SetFaults(Faults{Down: FlowFaults{Drop: true}})
	c, err := net.Dial("tcp", p.Addr())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("lost"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.DroppedBytes() == 4 }, time.Minute, time.Millisecond)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	var netErr net.Error
	require.ErrorAs(t, err, &netErr)
	require.True(t, netErr.Timeout())
	require.Equal(t, 1, p.OpenConnections())

	control := httptest.NewServer(p.Control())
	defer control.Close()
	req, err := http.NewRequest("PUT", control.URL+"/faults", strings.NewReader(`{"up":{"delay":1000}}`))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, Faults{Up: FlowFaults{Delay: 1000}}, p.Faults())
	_, err = c.Write([]byte("back"))
	require.NoError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	got := make([]byte, 4)
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, "back", string(got))
	resp, err = http.Post(control.URL+"/reset", "", nil)
	require.NoError(t, err)
	resp.Body.Close()
	_, err = c.Read(got)
	require.Error(t, err)
}
