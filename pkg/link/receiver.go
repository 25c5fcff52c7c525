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

// inbound is the row of a VM that said hello. Links.mu guards conn, done and peer.
type inbound struct {
	peer      Peer
	conn      net.Conn      // nil while the VM has no connection to this one
	done      chan struct{} // closed when conn's reader has ended
	newest    uint64        // highest Hello.Conn of peer.Member
	lastHeard atomic.Int64  // Unix nanoseconds
}

// accept takes connections until the listener closes.
func (l *Links) accept() {
	defer l.wg.Done()
	for {
		conn, err := l.listener.Accept()
		if l.ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return
		}
		if err != nil { // no file descriptors left, for instance
			l.log.Error(err, "accept failed")
			time.Sleep(minBackoff)
			continue
		}
		if !l.track(conn) {
			conn.Close()
			l.counters.dropped("too_many_connections").Inc()
			continue
		}
		go l.serve(conn)
	}
}

// track adds a connection to those that Close closes.
func (l *Links) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.pending >= maxPending {
		return false
	}
	l.pending++
	l.accepted[conn] = struct{}{}
	l.wg.Add(1)
	return true
}

func (l *Links) serve(raw net.Conn) {
	defer l.wg.Done()
	defer func() {
		raw.Close()
		l.mu.Lock()
		delete(l.accepted, raw)
		l.mu.Unlock()
	}()
	conn, hello, refused := l.handshake(raw)
	var in *inbound
	var done chan struct{}
	if refused == nil {
		in, done, refused = l.admit(hello, conn)
	}
	if refused != nil {
		l.refuse(conn, hello, refused)
	}
	l.mu.Lock()
	l.pending--
	l.mu.Unlock()
	if refused != nil {
		return
	}
	defer l.leave(in, conn, done)
	if l.cfg.OnHello != nil {
		l.cfg.OnHello(hello.From)
	}
	err := l.receive(conn, in, hello)
	l.log.V(1).Info("link from peer closed", "peer", hello.From.String(), "error", errText(err))
}

// handshake completes TLS, reads the hello and checks all that needs no table. The
// connection is nil when TLS failed.
func (l *Links) handshake(raw net.Conn) (net.Conn, *Hello, *Refused) {
	conn := raw
	if err := raw.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, nil, &Refused{Reason: ReasonForm}
	}
	var secured *tls.Conn
	if l.cfg.TLS != nil {
		secured = tls.Server(raw, l.cfg.TLS.Server())
		if err := secured.HandshakeContext(l.ctx); err != nil {
			return nil, nil, &Refused{Reason: ReasonIdentity}
		}
		conn = secured
	}
	m, err := readSmall(conn)
	hello, ok := m.(*Hello)
	switch {
	case err != nil || !ok:
		return conn, nil, &Refused{Reason: ReasonForm}
	case hello.Version != wire.ProtocolVersion:
		return conn, hello, &Refused{Reason: ReasonVersion}
	case hello.Fleet != l.cfg.Fleet:
		return conn, hello, &Refused{Reason: ReasonFleet}
	case hello.To != l.cfg.Self.VM:
		return conn, hello, &Refused{Reason: ReasonRecipient}
	case !hello.complete() || hello.From.VM == l.cfg.Self.VM:
		return conn, hello, &Refused{Reason: ReasonForm}
	case secured != nil && !tlsconf.Names(secured.ConnectionState(), string(hello.From.VM)):
		return conn, hello, &Refused{Reason: ReasonIdentity}
	}
	return conn, hello, nil
}

// readSmall reads a hello or a refusal. A longer frame is refused before memory is
// allocated for it.
func readSmall(r io.Reader) (fleet.Message, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	if n := binary.BigEndian.Uint32(size[:]); n > maxHelloBytes {
		return nil, &wire.FrameError{Reason: fmt.Sprintf("%d bytes are too long here", n)}
	}
	return wire.Read(io.MultiReader(bytes.NewReader(size[:]), r))
}

// complete reports whether the hello names its sender and its texts are bounded.
func (h *Hello) complete() bool {
	for _, text := range []string{string(h.From.VM), string(h.Region), string(h.Zone), h.Links, h.Operators} {
		if len(text) > maxName {
			return false
		}
	}
	return h.From.VM != "" && h.From.Incarnation != 0 && h.Region != ""
}

// older reports whether a hello comes after a newer one of the same VM. Connections
// of a paused process are accepted together when it resumes, in any order, so the
// incarnation alone does not tell.
func (in *inbound) older(hello *Hello) bool {
	known := in.peer.Member.Incarnation
	return hello.From.Incarnation < known || (hello.From.Incarnation == known && hello.Conn < in.newest)
}

// admit makes conn the VM's only connection. The reader of an earlier one has ended
// when admit returns, so that messages of two connections never mix. When the reader
// does not end, because the handler blocks, the hello is refused: a peer that goes on
// dialing must not take all the places of pending connections.
func (l *Links) admit(hello *Hello, conn net.Conn) (*inbound, chan struct{}, *Refused) {
	timeout := time.NewTimer(helloTimeout)
	defer timeout.Stop()
	for {
		l.mu.Lock()
		in := l.heard[hello.From.VM]
		if in == nil {
			if len(l.heard) >= maxPeers {
				l.mu.Unlock()
				return nil, nil, &Refused{Reason: ReasonFull}
			}
			in = &inbound{}
			l.heard[hello.From.VM] = in
		}
		if in.older(hello) {
			newest := in.peer.Member.Incarnation
			l.mu.Unlock()
			return nil, nil, &Refused{Reason: ReasonOlder, Newest: newest}
		}
		// Remembered before the earlier reader has ended: from here on an older
		// incarnation is refused.
		in.peer = Peer{Member: hello.From, Region: hello.Region, Zone: hello.Zone, Links: hello.Links, Operators: hello.Operators}
		in.newest = hello.Conn
		if in.conn == nil {
			in.conn, in.done = conn, make(chan struct{})
			in.lastHeard.Store(time.Now().UnixNano())
			done := in.done
			l.mu.Unlock()
			return in, done, nil
		}
		in.conn.Close()
		earlier := in.done
		l.mu.Unlock()
		select {
		case <-earlier:
		case <-timeout.C:
			return nil, nil, &Refused{Reason: ReasonBusy}
		}
	}
}

// leave ends a reader and lets the next connection of the VM go on.
func (l *Links) leave(in *inbound, conn net.Conn, done chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if in.conn == conn {
		in.conn = nil
	}
	close(done)
}

// refuse tells the peer why, as far as the connection still allows.
func (l *Links) refuse(conn net.Conn, hello *Hello, refused *Refused) {
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
		// Closing with unread data resets the connection, and the peer might not see
		// the refusal. The peer closes once it has read it.
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxRefusedBytes))
	}
}

// receive passes frames to the handler until the connection fails or is replaced.
func (l *Links) receive(conn net.Conn, in *inbound, hello *Hello) error {
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
		l.counters.count("in", hello.Region, 1, counted.reset())
		in.lastHeard.Store(time.Now().UnixNano())
		if l.replaced(in, hello) {
			return net.ErrClosed
		}
		switch m.(type) {
		case *Heartbeat:
		case *Hello, *Refused:
			return &wire.FrameError{Kind: m.Kind(), Reason: "not expected here"}
		default:
			l.cfg.Handler(hello.From, m)
		}
	}
}

// replaced reports whether the frames that are still buffered belong to an earlier
// incarnation.
func (l *Links) replaced(in *inbound, hello *Hello) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return in.peer.Member != hello.From || l.closed
}

type countingReader struct {
	r net.Conn
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}

func (c *countingReader) reset() int {
	n := c.n
	c.n = 0
	return n
}
