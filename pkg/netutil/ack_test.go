package netutil

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a peer that reads slowly and is taken for an unresponsive one, and against one that is unresponsive and
// is waited for without end.
func TestAckMonitor(t *testing.T) {
	const step = 100 * time.Millisecond
	cases := map[string]struct {
		state func(i int) AckState
		want  time.Duration // at the last of 30 steps
	}{
		"everything is acknowledged":   {func(int) AckState { return AckState{false, time.Hour} }, 0},
		"each step brings one":         {func(int) AckState { return AckState{true, step / 2} }, step / 2},
		"answered probes":              {func(i int) AckState { return AckState{i%4 == 3, time.Duration(i%4) * step} }, 0},
		"silence":                      {func(i int) AckState { return AckState{true, time.Hour + time.Duration(i)*step} }, 29 * step},
		"silence after the tenth step": {func(i int) AckState { return AckState{true, time.Duration(max(0, i-10)) * step} }, 19 * step},
		"nothing sent for long before": {func(i int) AckState { return AckState{i >= 20, time.Hour} }, 9 * step},
	}
	for name, c := range cases {
		var m AckMonitor
		start := time.Unix(1000, 0)
		var got time.Duration
		for i := range 30 {
			got = m.Observe(start.Add(time.Duration(i)*step), c.state(i))
		}
		require.Equal(t, c.want, got, name)
	}
}

// Guards against a state of the kernel that is misread: a peer that does not read leaves data unsent, not unacknowledged.
func TestPeerThatDoesNotReadAcknowledges(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := NewDialer(time.Minute, true).Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	peer, err := l.Accept()
	require.NoError(t, err)
	defer peer.Close()
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = c.Write(make([]byte, 64<<20))
	require.Error(t, err)
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		s, err := ReadAckState(raw)
		return err == nil && !s.Outstanding
	}, 30*time.Second, 10*time.Millisecond)
	require.NoError(t, c.Close())
	_, err = ReadAckState(raw)
	require.Error(t, err)
}
