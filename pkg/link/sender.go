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

// sender owns the outgoing connection to one peer and its queue.
type sender struct {
	links  *Links
	peer   fleet.VMID
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{} // has a token when the queue changed

	mu        sync.Mutex
	addr      string
	conn      net.Conn // nil while there is none
	queue     []queued
	bytes     int
	connected bool
	writing   bool
	idle      chan struct{} // closed when a flush may go on; nil without a waiter
}

type queued struct {
	frame []byte
	at    time.Time
}

func newSender(l *Links, peer fleet.VMID, addr string) *sender {
	s := &sender{links: l, peer: peer, addr: addr, wake: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(l.ctx)
	return s
}

func (s *sender) stop() { s.cancel() }

func (s *sender) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// setAddress changes where the peer is dialed. A connection to the earlier address
// ends: the process there may be paused or may be another VM by now.
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

// push appends a frame and drops the oldest ones beyond the bounds.
func (s *sender) push(frame []byte, now time.Time) {
	s.mu.Lock()
	s.queue = append(s.queue, queued{frame, now})
	s.bytes += len(frame)
	drop := 0
	for len(s.queue)-drop > maxQueueMessages || s.bytes > maxQueueBytes {
		s.bytes -= len(s.queue[drop].frame)
		drop++
	}
	s.discard(drop)
	s.mu.Unlock()
	if drop > 0 {
		s.links.counters.dropped("queue_full").Add(drop)
	}
	s.notify()
}

// expire drops the messages that are too old, so that the queues of many silent
// peers do not hold memory until they return.
func (s *sender) expire(now time.Time) {
	s.mu.Lock()
	old := 0
	for old < len(s.queue) && now.Sub(s.queue[old].at) > maxQueueAge {
		s.bytes -= len(s.queue[old].frame)
		old++
	}
	s.discard(old)
	s.mu.Unlock()
	s.links.counters.dropped("too_old").Add(old)
}

// discard removes the first n frames. The caller holds mu and has corrected bytes.
func (s *sender) discard(n int) {
	clear(s.queue[:n]) // lets go of the frames although the array stays
	s.queue = s.queue[n:]
}

// take removes and returns up to maxWriteBytes of frames that are not too old.
func (s *sender) take(now time.Time) (batch net.Buffers, size int) {
	s.mu.Lock()
	old, n := 0, 0
	for _, q := range s.queue {
		if now.Sub(q.at) > maxQueueAge {
			old++
		} else if size > 0 && size+len(q.frame) > maxWriteBytes {
			break
		} else {
			batch = append(batch, q.frame)
			size += len(q.frame)
		}
		s.bytes -= len(q.frame)
		n++
	}
	s.discard(n)
	s.writing = len(batch) > 0
	s.signalIdle()
	s.mu.Unlock()
	if old > 0 {
		s.links.counters.dropped("too_old").Add(old)
	}
	return batch, size
}

// signalIdle lets a waiting flush go on. The caller holds mu.
func (s *sender) signalIdle() {
	if s.idle != nil && (!s.connected || (len(s.queue) == 0 && !s.writing)) {
		close(s.idle)
		s.idle = nil
	}
}

// setConn says which connection is in use, or nil when it has ended.
func (s *sender) setConn(conn net.Conn) {
	s.mu.Lock()
	s.conn = conn
	s.connected = conn != nil
	s.writing = false
	s.signalIdle()
	s.mu.Unlock()
}

func (s *sender) flush(ctx context.Context) error {
	s.mu.Lock()
	if !s.connected || (len(s.queue) == 0 && !s.writing) {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run keeps the connection until the sender stops.
func (s *sender) run() {
	defer s.links.wg.Done()
	defer s.cancel()
	backoff := minBackoff
	for s.ctx.Err() == nil {
		connected, err := s.connectAndSend()
		if s.ctx.Err() != nil {
			return
		}
		s.expire(time.Now())
		// A dial that times out takes as long, but is no reason to dial sooner.
		if connected > maxBackoff {
			backoff = minBackoff
		}
		s.links.log.V(1).Info("link closed", "peer", s.peer, "error", errText(err), "retry_in", backoff)
		s.links.counters.reconnects.Inc()
		// Full jitter, so that VMs do not dial a returning peer all at once.
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

// connectAndSend dials once and sends until the connection fails. It returns how
// long the connection lasted.
func (s *sender) connectAndSend() (time.Duration, error) {
	conn, addr, err := s.dial()
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	began := time.Now()
	err = s.use(conn, addr)
	return time.Since(began), err
}

func (s *sender) use(conn net.Conn, addr string) error {
	stop := context.AfterFunc(s.ctx, func() { conn.Close() })
	defer stop()
	hello := s.links.hello
	hello.To, hello.Conn = s.peer, s.links.connSeq.Add(1)
	frame, err := wire.Encode(&hello)
	if err != nil {
		return err
	}
	if err := s.write(conn, net.Buffers{frame}, len(frame)); err != nil {
		return err
	}
	closed := make(chan error, 1)
	s.links.wg.Add(1)
	go s.watch(conn, closed)
	s.setConn(conn)
	defer s.setConn(nil)
	if s.address() != addr { // changed while the connection was made
		return errors.New("the address has changed")
	}
	return s.sendLoop(conn, closed)
}

func (s *sender) sendLoop(conn net.Conn, closed <-chan error) error {
	heartbeat, err := wire.Encode(&Heartbeat{})
	if err != nil {
		return err
	}
	timer := time.NewTicker(heartbeatInterval)
	defer timer.Stop()
	for {
		if batch, size := s.take(time.Now()); len(batch) > 0 {
			if err := s.write(conn, batch, size); err != nil {
				return err
			}
			continue
		}
		select {
		case <-s.wake:
		case <-timer.C:
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
		// One TLS record per frame would cost more than the copy.
		joined := make([]byte, 0, size)
		for _, frame := range batch {
			joined = append(joined, frame...)
		}
		if _, err := conn.Write(joined); err != nil {
			return err
		}
	}
	s.links.counters.count("out", s.links.region(s.peer), messages, size)
	return nil
}

func (s *sender) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

func (s *sender) dial() (net.Conn, string, error) {
	addr := s.address()
	if s.links.cfg.TLS == nil && !loopback(addr) {
		return nil, addr, errors.Errorf("%s is not a loopback address and no certificates are configured", addr)
	}
	ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{Control: setAckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil || s.links.cfg.TLS == nil {
		return conn, addr, err
	}
	secured := tls.Client(conn, s.links.cfg.TLS.Client(string(s.peer)))
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, addr, errors.Annotate(err, "TLS handshake")
	}
	if !tlsconf.Names(secured.ConnectionState(), string(s.peer)) {
		conn.Close()
		return nil, addr, errors.Errorf("the certificate of %s does not name %s", addr, s.peer)
	}
	return secured, addr, nil
}

func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err == nil {
		err = optErr
	}
	return err
}

// watch waits for the peer to refuse the hello or to close the connection. Nothing
// else arrives on it.
func (s *sender) watch(conn net.Conn, closed chan<- error) {
	defer s.links.wg.Done()
	m, err := readSmall(conn)
	if refused, ok := m.(*Refused); ok && err == nil {
		err = errors.Errorf("refused: %s", refused.Reason)
		s.links.counters.refusedBy(refused.Reason).Inc()
		s.links.log.Info("peer refused the hello", "peer", s.peer, "reason", refused.Reason.String(), "newest", refused.Newest)
		if s.links.cfg.OnRefused != nil {
			s.links.cfg.OnRefused(s.peer, *refused)
		}
	} else if err == nil {
		err = errors.New("unexpected message from the peer")
	} else if err == io.EOF {
		err = errors.New("closed by the peer")
	}
	closed <- err
	conn.Close() // ends a write that blocks
}
