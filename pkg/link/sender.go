package link

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// sender owns the outgoing connection to one peer and the peer's message queue.
type sender struct {
	links        *Links
	peer         fleet.VMID
	ctx          context.Context
	cancel       context.CancelFunc
	queueChanged chan struct{} // holds a token after a change of the queue

	mu              sync.Mutex
	addr            string
	conn            net.Conn // nil while not connected
	queue           []queuedFrame
	queuedBytes     int
	connected       bool
	writeInProgress bool
	flushed         chan struct{} // closed when waiting flushes may return; nil if none is waiting
}

type queuedFrame struct {
	frame    []byte
	queuedAt time.Time
}

func newSender(l *Links, peer fleet.VMID, addr string) *sender {
	s := &sender{links: l, peer: peer, addr: addr, queueChanged: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(l.ctx)
	return s
}

func (s *sender) stop() { s.cancel() }

func (s *sender) signalQueueChanged() {
	select {
	case s.queueChanged <- struct{}{}:
	default:
	}
}

// setAddress changes the address at which the peer is dialed. A connection to the previous
// address is closed, since the process there may be paused or belong to another VM by now.
func (s *sender) setAddress(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == addr {
		return
	}
	s.addr = addr
	if s.conn != nil {
		s.conn.Close()
	}
}

// push appends a frame and drops the oldest frames beyond the queue limits.
func (s *sender) push(frame []byte, now time.Time) {
	s.mu.Lock()
	s.queue = append(s.queue, queuedFrame{frame, now})
	s.queuedBytes += len(frame)
	drop := 0
	for len(s.queue)-drop > maxQueueMessages || s.queuedBytes > maxQueueBytes {
		s.queuedBytes -= len(s.queue[drop].frame)
		drop++
	}
	s.removeFrames(drop)
	s.mu.Unlock()
	if drop > 0 {
		s.links.counters.dropped("queue_full").Add(drop)
	}
	s.signalQueueChanged()
}

// dropExpired drops messages older than maxQueueAge, so that the queues of many unreachable
// peers do not occupy memory until the peers are reachable again.
func (s *sender) dropExpired(now time.Time) {
	s.mu.Lock()
	expired := 0
	for expired < len(s.queue) && now.Sub(s.queue[expired].queuedAt) > maxQueueAge {
		s.queuedBytes -= len(s.queue[expired].frame)
		expired++
	}
	s.removeFrames(expired)
	s.mu.Unlock()
	s.links.counters.dropped("too_old").Add(expired)
}

// removeFrames removes the first n frames. The caller holds mu and has updated queuedBytes.
func (s *sender) removeFrames(n int) {
	clear(s.queue[:n]) // releases the frames for garbage collection while the array is still in use
	s.queue = s.queue[n:]
}

// takeBatch removes frames from the queue and returns up to maxWriteBytes of them. Frames older
// than maxQueueAge are dropped.
func (s *sender) takeBatch(now time.Time) (batch net.Buffers, size int) {
	s.mu.Lock()
	expired, n := 0, 0
	for _, q := range s.queue {
		if now.Sub(q.queuedAt) > maxQueueAge {
			expired++
		} else if size > 0 && size+len(q.frame) > maxWriteBytes {
			break
		} else {
			batch = append(batch, q.frame)
			size += len(q.frame)
		}
		s.queuedBytes -= len(q.frame)
		n++
	}
	s.removeFrames(n)
	s.writeInProgress = len(batch) > 0
	s.signalFlushed()
	s.mu.Unlock()
	if expired > 0 {
		s.links.counters.dropped("too_old").Add(expired)
	}
	return batch, size
}

// signalFlushed wakes waiting flushes if the queue is written or the peer is not connected. The
// caller holds mu.
func (s *sender) signalFlushed() {
	if s.flushed != nil && (!s.connected || (len(s.queue) == 0 && !s.writeInProgress)) {
		close(s.flushed)
		s.flushed = nil
	}
}

// setConn sets the connection in use; nil means that it has ended.
func (s *sender) setConn(conn net.Conn) {
	s.mu.Lock()
	s.conn = conn
	s.connected = conn != nil
	s.writeInProgress = false
	s.signalFlushed()
	s.mu.Unlock()
}

// flush waits until the queue is written or the peer is no longer connected. It returns the error of
// ctx if that ends first.
func (s *sender) flush(ctx context.Context) error {
	s.mu.Lock()
	if !s.connected || (len(s.queue) == 0 && !s.writeInProgress) {
		s.mu.Unlock()
		return nil
	}
	if s.flushed == nil {
		s.flushed = make(chan struct{})
	}
	flushed := s.flushed
	s.mu.Unlock()
	select {
	case <-flushed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reconnectLoop keeps the peer connected until the sender is stopped.
func (s *sender) reconnectLoop() {
	defer s.links.wg.Done()
	defer s.cancel()
	backoff := minBackoff
	for s.ctx.Err() == nil {
		connectedFor, err := s.connectAndSend()
		if s.ctx.Err() != nil {
			return
		}
		s.dropExpired(time.Now())
		// Only the time with a connection counts: a dial that times out takes as long as
		// maxBackoff but must not reset the backoff.
		if connectedFor > maxBackoff {
			backoff = minBackoff
		}
		s.links.log.V(1).Info("link closed", "peer", s.peer, "error", errText(err), "retry_in", backoff)
		s.links.counters.reconnects.Inc()
		// Full jitter, so that not all VMs dial a recovering peer at the same time.
		wait := minBackoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
		}
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// connectAndSend dials once and sends until the connection fails. It returns the duration of
// the connection.
func (s *sender) connectAndSend() (time.Duration, error) {
	conn, addr, err := s.dial()
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	start := time.Now()
	err = s.serveConn(conn, addr)
	return time.Since(start), err
}

// serveConn sends the hello and then the queued messages until the connection fails or the sender is
// stopped.
func (s *sender) serveConn(conn net.Conn, addr string) error {
	stop := context.AfterFunc(s.ctx, func() { conn.Close() })
	defer stop()
	hello := s.links.hello
	hello.To, hello.ConnID = s.peer, s.links.lastConnID.Add(1)
	frame, err := wire.Encode(&hello)
	if err != nil {
		return err
	}
	if err := s.write(conn, net.Buffers{frame}, len(frame)); err != nil {
		return err
	}
	closed := make(chan error, 1)
	s.links.wg.Add(1)
	go s.watchConn(conn, closed)
	s.setConn(conn)
	defer s.setConn(nil)
	if s.address() != addr { // changed while dialing, before setAddress could close conn
		return errors.New("peer address changed")
	}
	return s.sendLoop(conn, closed)
}

// sendLoop sends queued messages, and heartbeats while there are none. A value from closed ends it.
func (s *sender) sendLoop(conn net.Conn, closed <-chan error) error {
	heartbeat, err := wire.Encode(&Heartbeat{})
	if err != nil {
		return err
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if batch, size := s.takeBatch(time.Now()); len(batch) > 0 {
			if err := s.write(conn, batch, size); err != nil {
				return err
			}
			continue
		}
		select {
		case <-s.queueChanged:
		case <-ticker.C:
			if err := s.write(conn, net.Buffers{heartbeat}, len(heartbeat)); err != nil {
				return err
			}
		case err := <-closed:
			return err
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}

// write sends frames of size bytes in total and counts them.
func (s *sender) write(conn net.Conn, batch net.Buffers, size int) error {
	messages := len(batch)
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, isTCP := conn.(*net.TCPConn); isTCP {
		if _, err := batch.WriteTo(conn); err != nil {
			return err
		}
	} else {
		// One TLS record per frame would cost more than copying the frames.
		joined := make([]byte, 0, size)
		for _, frame := range batch {
			joined = append(joined, frame...)
		}
		if _, err := conn.Write(joined); err != nil {
			return err
		}
	}
	s.links.counters.count("out", s.links.peerRegion(s.peer), messages, size)
	return nil
}

func (s *sender) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// dial connects to the peer's current address, which it also returns, and verifies the peer's
// certificate.
func (s *sender) dial() (net.Conn, string, error) {
	addr := s.address()
	if s.links.cfg.TLS == nil && !isLoopback(addr) {
		return nil, addr, errors.Errorf("%s is not a loopback address and no certificates are configured", addr)
	}
	ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{Control: setUnackedTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil || s.links.cfg.TLS == nil {
		return conn, addr, err
	}
	tlsConn := tls.Client(conn, s.links.cfg.TLS.Client(string(s.peer)))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, addr, errors.Annotate(err, "TLS handshake")
	}
	if !tlsconf.HasDNSName(tlsConn.ConnectionState(), string(s.peer)) {
		conn.Close()
		return nil, addr, errors.Errorf("certificate of %s is not for %s", addr, s.peer)
	}
	return tlsConn, addr, nil
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err == nil {
		err = optErr
	}
	return err
}

// watchConn waits until the peer refuses the hello or closes the connection, and sends the cause to
// closed. Peers send nothing else on it.
func (s *sender) watchConn(conn net.Conn, closed chan<- error) {
	defer s.links.wg.Done()
	m, err := readHandshakeFrame(conn)
	if refused, ok := m.(*Refusal); ok && err == nil {
		err = errors.Errorf("refused: %s", refused.Reason)
		s.links.counters.refusedByPeer(refused.Reason).Inc()
		s.links.log.Info("hello refused by peer", "peer", s.peer, "reason", refused.Reason.String(), "newest", refused.Newest)
		if s.links.cfg.OnRefused != nil {
			s.links.cfg.OnRefused(s.peer, *refused)
		}
	} else if err == nil {
		err = errors.New("unexpected message from peer")
	} else if err == io.EOF {
		err = errors.New("closed by peer")
	}
	closed <- err
	conn.Close() // unblocks a pending write
}
