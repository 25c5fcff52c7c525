package link

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// inboundPeer is the state of a VM that has sent a hello. Links.mu guards all fields but lastHeard.
type inboundPeer struct {
	peer         Peer
	conn         net.Conn      // nil while the VM is not connected to this one
	readerDone   chan struct{} // closed when the reader of conn has ended
	newestConnID uint64        // highest Hello.ConnID from peer.Member
	lastHeard    atomic.Int64  // Unix nanoseconds
}

// acceptLoop accepts connections until the links are closed.
func (l *Links) acceptLoop() {
	defer l.wg.Done()
	for {
		conn, err := l.listener.Accept()
		if l.ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return
		}
		if err != nil { // for example when out of file descriptors
			l.log.Error(err, "accept failed")
			time.Sleep(minBackoff)
			continue
		}
		if !l.trackConn(conn) {
			conn.Close()
			l.counters.dropped("too_many_connections").Inc()
			continue
		}
		go l.serveInbound(conn)
	}
}

// trackConn registers a connection, so that Close closes it. It returns false if the links are
// closed or too many connections are pending.
func (l *Links) trackConn(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.pendingConns >= maxPendingConns {
		return false
	}
	l.pendingConns++
	l.acceptedConns[conn] = struct{}{}
	l.wg.Add(1)
	return true
}

// serveInbound performs the handshake on an accepted connection and receives messages until the
// connection fails or is replaced.
func (l *Links) serveInbound(raw net.Conn) {
	defer l.wg.Done()
	defer func() {
		raw.Close()
		l.mu.Lock()
		delete(l.acceptedConns, raw)
		l.mu.Unlock()
	}()
	conn, hello, refused := l.handshake(raw)
	var in *inboundPeer
	var done chan struct{}
	if refused == nil {
		in, done, refused = l.admit(hello, conn)
	}
	if refused != nil {
		l.sendRefusal(conn, hello, refused)
	}
	l.mu.Lock()
	l.pendingConns--
	l.mu.Unlock()
	if refused != nil {
		return
	}
	defer l.releaseConn(in, conn, done)
	if l.cfg.OnHello != nil {
		l.cfg.OnHello(hello.From)
	}
	err := l.receive(conn, in, hello)
	l.log.V(1).Info("link from peer closed", "peer", hello.From.String(), "error", errText(err))
}

// handshake completes the TLS handshake, reads the hello and performs the checks that do not
// depend on other connections. The returned connection is nil if TLS failed.
func (l *Links) handshake(raw net.Conn) (net.Conn, *Hello, *Refusal) {
	conn := raw
	if err := raw.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, nil, &Refusal{Reason: ReasonMalformed}
	}
	var tlsConn *tls.Conn
	if l.cfg.TLS != nil {
		tlsConn = tls.Server(raw, l.cfg.TLS.Server())
		if err := tlsConn.HandshakeContext(l.ctx); err != nil {
			return nil, nil, &Refusal{Reason: ReasonIdentity}
		}
		conn = tlsConn
	}
	m, err := readHandshakeFrame(conn)
	hello, ok := m.(*Hello)
	switch {
	case err != nil || !ok:
		return conn, nil, &Refusal{Reason: ReasonMalformed}
	case hello.Version != wire.ProtocolVersion:
		return conn, hello, &Refusal{Reason: ReasonVersion}
	case hello.Fleet != l.cfg.Fleet:
		return conn, hello, &Refusal{Reason: ReasonFleet}
	case hello.To != l.cfg.Self.VM:
		return conn, hello, &Refusal{Reason: ReasonRecipient}
	case !hello.isValid() || hello.From.VM == l.cfg.Self.VM:
		return conn, hello, &Refusal{Reason: ReasonMalformed}
	case tlsConn != nil && !tlsconf.HasDNSName(tlsConn.ConnectionState(), string(hello.From.VM)):
		return conn, hello, &Refusal{Reason: ReasonIdentity}
	}
	return conn, hello, nil
}

// readHandshakeFrame reads a hello or a refusal. A frame above maxHelloBytes is rejected before
// memory is allocated for it.
func readHandshakeFrame(r io.Reader) (fleet.Message, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	if n := binary.BigEndian.Uint32(size[:]); n > maxHelloBytes {
		return nil, &wire.FrameError{Reason: fmt.Sprintf("frame of %d bytes exceeds the handshake limit", n)}
	}
	return wire.Read(io.MultiReader(bytes.NewReader(size[:]), r))
}

// isValid reports whether the hello identifies its sender and its string fields are within the
// limit.
func (h *Hello) isValid() bool {
	for _, text := range []string{string(h.From.VM), string(h.Region), string(h.Zone), h.LinkAddr, h.OperatorAddr} {
		if len(text) > maxHelloFieldBytes {
			return false
		}
	}
	return h.From.VM != "" && h.From.Incarnation != 0 && h.Region != ""
}

// isStale reports whether a newer hello of the same VM is already known. Connections that waited while
// this process was paused are handled in any order when it resumes, so that comparing incarnations is
// not sufficient.
func (in *inboundPeer) isStale(hello *Hello) bool {
	known := in.peer.Member.Incarnation
	return hello.From.Incarnation < known || (hello.From.Incarnation == known && hello.ConnID < in.newestConnID)
}

// admit makes conn the only connection from the VM and returns the VM's state with the channel that
// releaseConn closes. It first waits until the reader of the
// previous connection has ended, so that messages of two connections are never interleaved. If
// that reader does not end because the handler blocks, the hello is refused. Otherwise a peer
// that keeps reconnecting could occupy all pending connections.
func (l *Links) admit(hello *Hello, conn net.Conn) (*inboundPeer, chan struct{}, *Refusal) {
	timeout := time.NewTimer(helloTimeout)
	defer timeout.Stop()
	for {
		l.mu.Lock()
		in := l.inboundPeers[hello.From.VM]
		if in == nil {
			if len(l.inboundPeers) >= maxKnownPeers {
				l.mu.Unlock()
				return nil, nil, &Refusal{Reason: ReasonTableFull}
			}
			in = &inboundPeer{}
			l.inboundPeers[hello.From.VM] = in
		}
		if in.isStale(hello) {
			newest := in.peer.Member.Incarnation
			l.mu.Unlock()
			return nil, nil, &Refusal{Reason: ReasonOlderIncarnation, Newest: newest}
		}
		// Stored before the previous reader has ended, so that older incarnations are
		// refused from here on.
		in.peer = Peer{Member: hello.From, Region: hello.Region, Zone: hello.Zone, LinkAddr: hello.LinkAddr, OperatorAddr: hello.OperatorAddr}
		in.newestConnID = hello.ConnID
		if in.conn == nil {
			in.conn, in.readerDone = conn, make(chan struct{})
			in.lastHeard.Store(time.Now().UnixNano())
			done := in.readerDone
			l.mu.Unlock()
			return in, done, nil
		}
		in.conn.Close()
		earlier := in.readerDone
		l.mu.Unlock()
		select {
		case <-earlier:
		case <-timeout.C:
			return nil, nil, &Refusal{Reason: ReasonBusy}
		}
	}
}

// releaseConn marks the reader of conn as ended by closing done, so that the VM's next connection can
// be admitted.
func (l *Links) releaseConn(in *inboundPeer, conn net.Conn, done chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if in.conn == conn {
		in.conn = nil
	}
	close(done)
}

// sendRefusal counts and logs a refusal and sends it to the peer on a best-effort basis.
func (l *Links) sendRefusal(conn net.Conn, hello *Hello, refused *Refusal) {
	l.counters.refused(refused.Reason).Inc()
	if l.ctx.Err() != nil {
		return
	}
	from := "unknown"
	if hello != nil {
		from = hello.From.String()
	}
	l.log.Info("hello refused", "from", from, "reason", refused.Reason.String())
	if conn == nil {
		return
	}
	refused.By = l.cfg.Self
	if frame, err := wire.Encode(refused); err == nil {
		_ = conn.SetDeadline(time.Now().Add(writeTimeout))
		_, _ = conn.Write(frame)
		// Closing a connection with unread data resets it, and the peer might not receive the
		// refusal. The peer closes the connection once it has read the refusal.
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxDiscardBytes))
	}
}

// receive reads frames and passes them to the handler until the connection fails or is replaced.
func (l *Links) receive(conn net.Conn, in *inboundPeer, hello *Hello) error {
	counted := &countingReader{r: conn}
	r := bufio.NewReaderSize(counted, 64<<10)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return err
		}
		m, err := wire.Read(r)
		if err != nil {
			return err
		}
		l.counters.count("in", hello.Region, 1, counted.takeCount())
		in.lastHeard.Store(time.Now().UnixNano())
		if l.isReplaced(in, hello) {
			return net.ErrClosed
		}
		switch m.(type) {
		case *Heartbeat:
		case *Hello, *Refusal:
			return &wire.FrameError{Kind: m.Kind(), Reason: "unexpected message after the hello"}
		default:
			l.cfg.Handler(hello.From, m)
		}
	}
}

// isReplaced reports whether the links are closed or a newer incarnation of the VM has
// connected. The frames still in the read buffer must then be discarded.
func (l *Links) isReplaced(in *inboundPeer, hello *Hello) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return in.peer.Member != hello.From || l.closed
}

// countingReader counts the bytes read from a connection.
type countingReader struct {
	r net.Conn
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}

// takeCount returns the number of bytes read since the last call.
func (c *countingReader) takeCount() int {
	n := c.n
	c.n = 0
	return n
}
