package proxy

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/netutil"
)

// Reasons why a connection refuses the first byte of a request.
var (
	errReplay       = errors.New("the transport tried to replay the request")
	errStrayBytes   = errors.New("the server sent bytes on an idle connection")
	errServerClosed = errors.New("the server closed the idle connection")
	errAttemptOver  = errors.New("the attempt is over")
	errNoOwner      = errors.New("write on a connection without an owner")
)

// wireAttempt tracks one attempt on its connection. It proves whether a byte of the request was
// written, and whether the response was received after the request.
type wireAttempt struct {
	checkDispatch func() error // last check before the first byte is written

	writtenBytes  atomic.Int64 // bytes accepted by the kernel
	readBytes     atomic.Int64 // bytes read after the first byte was written
	conns         atomic.Int32 // connections chosen by the transport; more than one means a replay
	strayResponse atomic.Bool  // the first byte of the response was read before the first byte of the request was written
	ended         atomic.Bool  // EOF or an error was read after the first byte was written
	informational atomic.Int32 // 1xx responses received

	mu          sync.Mutex
	sendStarted bool  // the write of the first byte was permitted, and the kernel did not refuse it
	sealed      bool  // no first byte is permitted any more
	refused     error // why the first byte was refused
	conn        *serverConn
	reused      bool // the connection served an earlier request
}

// deadConn reports whether the attempt failed on a reused connection that was closed or untrusted,
// before the write of the first byte was permitted.
func (wire *wireAttempt) deadConn() bool {
	wire.mu.Lock()
	defer wire.mu.Unlock()
	if wire.sendStarted {
		return false
	}
	switch wire.refused {
	case errServerClosed, errStrayBytes:
		return true
	case errReplay: // the transport had already replaced a dead connection by the one that refused
		return true
	case nil:
		return wire.reused
	}
	return false
}

// putIdle is called when the transport makes the connection available to other requests.
func (wire *wireAttempt) putIdle(err error) {
	wire.mu.Lock()
	c := wire.conn
	wire.mu.Unlock()
	if err == nil && c != nil {
		c.markIdle(wire)
	}
}

// closeUntrusted closes the connection of a suspect response, unless another request has started on
// it: http.Transport makes a connection available again before it returns a response without a body.
func (wire *wireAttempt) closeUntrusted() {
	wire.mu.Lock()
	c := wire.conn
	wire.mu.Unlock()
	if c != nil {
		c.closeUntrusted(wire)
	}
}

// onUntrustedConn reports whether an earlier response on the connection makes this one doubtful.
func (wire *wireAttempt) onUntrustedConn() bool {
	wire.mu.Lock()
	c := wire.conn
	wire.mu.Unlock()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.untrusted
}

// beginSend permits the write of the first byte unless the attempt is over or checkDispatch fails.
func (wire *wireAttempt) beginSend() error {
	wire.mu.Lock()
	defer wire.mu.Unlock()
	if wire.sealed {
		return errAttemptOver
	}
	if err := wire.checkDispatch(); err != nil {
		if wire.refused == nil {
			wire.refused = err
		}
		return err
	}
	wire.sendStarted = true
	return nil
}

// revertSend records that the kernel accepted no byte of the first write.
func (wire *wireAttempt) revertSend() {
	wire.mu.Lock()
	defer wire.mu.Unlock()
	wire.sendStarted = false
}

// seal refuses the first byte from now on and reports whether it may have been sent already. False proves
// that the server has received nothing and will receive nothing.
func (wire *wireAttempt) seal() bool {
	wire.mu.Lock()
	defer wire.mu.Unlock()
	wire.sealed = true
	return wire.sendStarted
}

func (wire *wireAttempt) refuse(err error) error {
	wire.mu.Lock()
	defer wire.mu.Unlock()
	if wire.refused == nil {
		wire.refused = err
	}
	return err
}

func (wire *wireAttempt) refusal() error {
	wire.mu.Lock()
	defer wire.mu.Unlock()
	return wire.refused
}

// gotConn assigns the connection to the attempt. http.Transport replays some requests on a new
// connection by itself (idempotent methods, an Idempotency-Key header or an empty body). The second
// connection refuses to write, so that only the proxy decides about retries.
func (wire *wireAttempt) gotConn(conn net.Conn, reused bool) {
	n := wire.conns.Add(1)
	if c, ok := conn.(*serverConn); ok {
		wire.mu.Lock()
		wire.conn, wire.reused = c, reused
		wire.mu.Unlock()
		c.setOwner(wire, n > 1, reused)
	}
}

// firstResponseByte is called when the transport finds the first byte of a response. If nothing was
// read since the first byte of the request, that byte is left over from an earlier response.
func (wire *wireAttempt) firstResponseByte() {
	if wire.readBytes.Load() == 0 {
		wire.strayResponse.Store(true)
	}
}

// connHooks are called on events of a connection to a server.
type connHooks struct {
	bytes        func(n int) // sent or received
	closed       func()      // once
	unresponsive func()      // the connection is closed because of the server's silence
}

// serverConn is a connection to a server. It counts the bytes of the attempt that owns it. A byte received
// before the request's first byte was sent is never counted as read for that request.
type serverConn struct {
	net.Conn
	raw       syscall.RawConn
	hooks     connHooks
	closeOnce sync.Once

	mu           sync.Mutex
	owner        *wireAttempt
	idle         bool // the owner's response was read to its end
	sendStarted  bool // the write of the owner's first byte was permitted
	refuseWrites bool // the owner has already used another connection
	reused       bool
	untrusted    bool // a response was suspect, or bytes were received before a request was sent
	head         headCounter

	failure error // of the connection, if a write returned it or the server was found unresponsive

	sendTimeout time.Duration // how long the server may acknowledge nothing of what was sent; 0 for no limit
	readAcks    func() (netutil.AckState, error)
	acks        netutil.AckMonitor
	ackTimer    *time.Timer // runs while a request is sent or answered; nil before the first
}

func newServerConn(c *net.TCPConn, sendTimeout time.Duration, hooks connHooks) (*serverConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &serverConn{Conn: c, raw: raw, sendTimeout: sendTimeout, hooks: hooks,
		readAcks: func() (netutil.AckState, error) { return netutil.ReadAckState(raw) }}, nil
}

// ackChecks is how often the acknowledgements are checked within the send timeout.
const ackChecks = 4

// watchAcks starts the checks of the server's acknowledgements. mu must be held.
func (c *serverConn) watchAcks() {
	if c.sendTimeout <= 0 {
		return
	}
	c.acks = netutil.AckMonitor{}
	if c.ackTimer == nil {
		c.ackTimer = time.AfterFunc(c.sendTimeout/ackChecks, c.checkAcks)
		return
	}
	c.ackTimer.Reset(c.sendTimeout / ackChecks)
}

// stopAcks ends the checks. mu must be held.
func (c *serverConn) stopAcks() {
	if c.ackTimer != nil {
		c.ackTimer.Stop()
	}
}

// checkAcks closes the connection if the server has become unresponsive.
func (c *serverConn) checkAcks() {
	if !c.isUnresponsive(time.Now()) {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // what is not sent yet must not reach the server later
	}
	c.hooks.unresponsive()
	_ = c.Conn.Close() // reads and writes fail now, and net/http calls Close
}

// isUnresponsive reports whether the server has acknowledged nothing for the send timeout. If not, it schedules the next
// check.
func (c *serverConn) isUnresponsive(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || c.failure != nil {
		return false
	}
	state, err := c.readAcks()
	if err != nil {
		return false // closed
	}
	if c.acks.Observe(now, state) < c.sendTimeout {
		c.ackTimer.Reset(c.sendTimeout / ackChecks)
		return false
	}
	c.failure = syscall.ETIMEDOUT
	return true
}

func (c *serverConn) setOwner(wire *wireAttempt, refuseWrites, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopAcks()
	c.owner, c.sendStarted, c.refuseWrites, c.reused, c.idle = wire, false, refuseWrites, reused, false
	c.head = headCounter{}
}

// markIdle marks the connection as idle unless another request has taken it.
func (c *serverConn) markIdle(wire *wireAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == wire {
		c.idle = true
		c.stopAcks()
	}
}

// closeUntrusted marks the connection as untrusted, and closes it unless a request other than that of wire has
// started on it.
func (c *serverConn) closeUntrusted(wire *wireAttempt) {
	c.mu.Lock()
	c.untrusted = true
	closeNow := c.owner == wire || !c.sendStarted
	c.mu.Unlock()
	if closeNow {
		c.Close()
	}
}

// Write writes to the server after the checks for the first byte of a request.
func (c *serverConn) Write(p []byte) (int, error) {
	wire, first, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.send(p)
	if first && n == 0 {
		wire.revertSend()
		if c.reused {
			_ = wire.refuse(errServerClosed)
		}
	}
	wire.writtenBytes.Add(int64(n))
	c.hooks.bytes(n)
	return n, err
}

// send writes to the socket. The kernel reports the failure of a connection only once: if a write gets it, the reads find
// the end of the stream, as if the server had ended its response. Each system call and the record of its error are one
// step under mu, so that no Read runs between them.
func (c *serverConn) send(p []byte) (sent int, err error) {
	rawErr := c.raw.Write(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for sent < len(p) && err == nil {
			var n int
			n, err = writeFD(int(fd), p[sent:])
			sent += n
		}
		if err == syscall.EAGAIN {
			err = nil
			return false
		}
		// EPIPE is no failure of the connection: it follows the end of the stream, or a failure that was reported before.
		if err != nil && err != syscall.EPIPE && c.failure == nil {
			c.failure = err
		}
		return true
	})
	switch {
	case rawErr != nil:
		return sent, c.closedError("write", rawErr)
	case err != nil:
		return sent, opError(c.Conn, "write", err)
	}
	return sent, nil
}

// beginWrite returns the owner if it may write, and whether this write contains its first byte.
func (c *serverConn) beginWrite() (wire *wireAttempt, first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wire = c.owner
	if wire == nil {
		return nil, false, errNoOwner
	}
	if c.sendStarted {
		return wire, false, nil
	}
	if c.refuseWrites {
		return nil, false, wire.refuse(errReplay)
	}
	if c.untrusted {
		return nil, false, wire.refuse(errStrayBytes)
	}
	if err := c.checkPendingInput(); err != nil {
		return nil, false, wire.refuse(err)
	}
	if err := wire.beginSend(); err != nil {
		return nil, false, err
	}
	c.sendStarted = true
	c.watchAcks()
	return wire, true, nil
}

// checkPendingInput returns an error if the kernel holds unread bytes or the end of the stream from the
// server. mu must be held, so that no Read runs at the same time.
func (c *serverConn) checkPendingInput() error {
	switch pendingInput(c.raw) {
	case inputNone:
		return nil
	case inputBytes:
		return errStrayBytes
	}
	return errServerClosed
}

// input is what the kernel holds for a connection.
type input uint8

const (
	inputNone  input = iota
	inputBytes       // unread bytes
	inputEnded       // the end of the stream, or an error
)

// pendingInput returns what the kernel holds for a connection, without waiting.
func pendingInput(raw syscall.RawConn) input {
	found := inputNone
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || n == 0:
			found = inputEnded
		default:
			found = inputBytes
		}
	})
	if err != nil {
		return inputEnded
	}
	return found
}

// readFD reads from a non-blocking socket.
func readFD(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// writeFD writes to a non-blocking socket.
func writeFD(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, p)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// opError returns the error of a system call in the form in which package net returns it.
func opError(c net.Conn, call string, err error) error {
	return &net.OpError{Op: call, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(call, err)}
}

// readResult converts the results of readFD and RawConn.Read to those of net.Conn.Read.
func readResult(c net.Conn, n int, err, rawErr error) (int, error) {
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, opError(c, "read", err)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Read reads from the server. The system call and the update of the counters are one step under mu, so
// that beginWrite finds each received byte either counted here or still in the kernel.
func (c *serverConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = readFD(int(fd), p)
		if err == syscall.EAGAIN {
			return false
		}
		if n == 0 && err == nil {
			err = c.failure
		}
		switch {
		case n > 0 && c.idle:
			n, err, c.untrusted = 0, errStrayBytes, true
		case n > 0 && c.reused && !c.sendStarted:
			// The next request owns the connection but has not been sent. It can still use another
			// connection, with proof that it did not run.
			n, err, c.untrusted = 0, errStrayBytes, true
		case n > 0 && c.sendStarted:
			c.owner.readBytes.Add(int64(n))
			if c.head.count(p[:n]) {
				n, err = 0, errHeadLines
			}
		case c.sendStarted:
			c.owner.ended.Store(true)
		}
		return true
	})
	if (err == errStrayBytes || err == errHeadLines) && rawErr == nil {
		return 0, err
	}
	n, err = readResult(c.Conn, n, err, c.closedError("read", rawErr))
	c.hooks.bytes(n)
	return n, err
}

// closedError returns the error of a call on a closed connection: the failure because of which it was closed, if any.
func (c *serverConn) closedError(call string, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || c.failure == nil {
		return err
	}
	return opError(c.Conn, call, c.failure)
}

// Close closes the connection and calls its hook the first time.
func (c *serverConn) Close() error {
	c.mu.Lock()
	c.stopAcks()
	c.mu.Unlock()
	c.closeOnce.Do(c.hooks.closed)
	return c.Conn.Close()
}
