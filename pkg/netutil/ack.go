package netutil

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// minLostProbes is the number of probes of a closed window that must be unanswered. One may be lost on the way, and the
// next follows only after a back-off.
const minLostProbes = 2

// AckState is what the kernel knows of the acknowledgement of what was sent on a connection.
type AckState struct {
	Outstanding bool          // data, or probes of the peer's closed window, wait for an acknowledgement
	SinceAck    time.Duration // since the latest acknowledgement of any kind
}

// ReadAckState reads the state of a connection.
func ReadAckState(raw syscall.RawConn) (s AckState, err error) {
	ctlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			s = AckState{info.Unacked > 0 || info.Probes >= minLostProbes, time.Duration(info.Last_ack_recv) * time.Millisecond}
		}
	})
	if ctlErr != nil {
		return AckState{}, ctlErr
	}
	return s, err
}

// AckMonitor measures how long a peer has left unacknowledged what was sent to it. A peer that reads slowly, or not at all
// for a while, still acknowledges the probes of its closed window. The option TCP_USER_TIMEOUT does not tell the two
// apart, and ends connections to slow readers.
type AckMonitor struct {
	since time.Time // start of the time without an acknowledgement; zero if nothing is outstanding
}

// Observe records the state at a time and returns for how long the peer has acknowledged nothing of what is outstanding.
func (m *AckMonitor) Observe(now time.Time, s AckState) time.Duration {
	if !s.Outstanding {
		m.since = time.Time{}
		return 0
	}
	if acked := now.Add(-s.SinceAck); m.since.IsZero() {
		m.since = now
	} else if acked.After(m.since) {
		m.since = acked
	}
	return now.Sub(m.since)
}
