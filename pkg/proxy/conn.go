package proxy

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

// Causes for which a connection refuses the first byte of a request.
var (
	errReplay      = errors.New("the transport tried to repeat the request on its own")
	errStrayBytes  = errors.New("the server sent bytes on an idle connection")
	errServerHung  = errors.New("the server closed the idle connection")
	errSealed      = errors.New("the attempt is over")
	errUnownedByte = errors.New("write on a connection that no request owns")
)

// flight is the record of one attempt on the wire. It proves whether a byte of the
// request was written, and whether the answer came after the request.
type flight struct {
	mayStart func() error // last check right before the first byte

	written atomic.Int64 // bytes accepted by the kernel
	read    atomic.Int64 // bytes read after the first byte was written
	conns   atomic.Int32 // connections that the transport chose; more than one is a repeat
	stale   atomic.Bool  // the answer's first byte was read before the request's first byte was written
	ended   atomic.Bool  // the connection's end or an error was read after the first byte was written

	mu      sync.Mutex
	started bool  // a byte was let through and not refused by the kernel
	sealed  bool  // no byte is let through any more
	refused error // why the first byte was refused
	conn    *serverConn
	reused  bool // the connection served a request before
}

// deadConn reports whether the attempt failed on a reused connection that had ended
// or is not trusted, before a byte was let through.
func (f *flight) deadConn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.started && (f.refused == errServerHung || f.refused == errStrayBytes || f.refused == nil && f.reused)
}

// putIdle is called when the transport offers the connection to other requests.
func (f *flight) putIdle(err error) {
	f.mu.Lock()
	c := f.conn
	f.mu.Unlock()
	if err == nil && c != nil {
		c.release(f)
	}
}

// distrust closes the connection of a doubtful answer, unless another request has
// begun on it: http.Transport offers a connection again before it returns an answer
// without a body.
func (f *flight) distrust() {
	f.mu.Lock()
	c := f.conn
	f.mu.Unlock()
	if c != nil {
		c.distrust(f)
	}
}

// start lets the first byte through unless the attempt is over or came too late.
func (f *flight) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sealed {
		return errSealed
	}
	if err := f.mayStart(); err != nil {
		if f.refused == nil {
			f.refused = err
		}
		return err
	}
	f.started = true
	return nil
}

// unstart records that the kernel took no byte of the first write.
func (f *flight) unstart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = false
}

// seal ends the attempt for connections and reports whether a byte may have left. A
// false result is proof that the server got none and will get none.
func (f *flight) seal() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sealed = true
	return f.started
}

func (f *flight) refuse(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused == nil {
		f.refused = err
	}
	return err
}

func (f *flight) refusal() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// gotConn binds the connection to the attempt. http.Transport repeats some requests
// on a new connection by itself (idempotent methods, an Idempotency-Key header or an
// empty body); the second connection refuses to write, so that only the proxy
// decides about retries.
func (f *flight) gotConn(conn net.Conn, reused bool) {
	n := f.conns.Add(1)
	if c, ok := conn.(*serverConn); ok {
		f.mu.Lock()
		f.conn, f.reused = c, reused
		f.mu.Unlock()
		c.own(f, n > 1, reused)
	}
}

// firstResponseByte is called when the transport meets the first byte of an answer.
// Without a read since the request's first byte, the byte was left over from an
// earlier answer.
func (f *flight) firstResponseByte() {
	if f.read.Load() == 0 {
		f.stale.Store(true)
	}
}

// serverConn is a connection to a server. It counts bytes for the attempt that owns
// it and is exact about order: a byte that this VM received before the request's
// first byte left is never counted as read for that request.
type serverConn struct {
	net.Conn
	raw   syscall.RawConn
	sent  func(n int) // counts bytes in both directions
	close sync.Once
	gone  func() // called once on close

	mu     sync.Mutex
	owner  *flight
	idle   bool // the owner's answer was read to its end
	began  bool // the owner's first byte was let through
	refuse bool // the owner already used another connection
	reused bool
	doubt  bool // an answer on this connection was not trusted
}

func newServerConn(c *net.TCPConn, count func(n int), gone func()) (*serverConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &serverConn{Conn: c, raw: raw, sent: count, gone: gone}, nil
}

func (c *serverConn) own(f *flight, refuse, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner, c.began, c.refuse, c.reused, c.idle = f, false, refuse, reused, false
}

// release marks the connection idle unless another request took it meanwhile.
func (c *serverConn) release(f *flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == f {
		c.idle = true
	}
}

func (c *serverConn) distrust(f *flight) {
	c.mu.Lock()
	c.doubt = true
	idle := c.owner == f || !c.began
	c.mu.Unlock()
	if idle {
		c.Close()
	}
}

// Write writes to the server after the checks that belong to a request's first byte.
func (c *serverConn) Write(p []byte) (int, error) {
	f, first, err := c.begin()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 {
		f.unstart()
		if c.reused {
			_ = f.refuse(errServerHung)
		}
	}
	f.written.Add(int64(n))
	c.sent(n)
	return n, err
}

// begin returns the owner once its first byte may leave, and whether this is it.
func (c *serverConn) begin() (f *flight, first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f = c.owner
	if f == nil {
		return nil, false, errUnownedByte
	}
	if c.began {
		return f, false, nil
	}
	if c.refuse {
		return nil, false, f.refuse(errReplay)
	}
	if c.doubt {
		return nil, false, f.refuse(errStrayBytes)
	}
	if err := c.pending(); err != nil {
		return nil, false, f.refuse(err)
	}
	if err := f.start(); err != nil {
		return nil, false, err
	}
	c.began = true
	return f, true, nil
}

// pending returns an error when the kernel holds unread bytes or the end of stream
// from the server. It is called with mu held, so that no Read runs meanwhile.
func (c *serverConn) pending() error {
	var found error
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || n == 0:
			found = errServerHung
		default:
			found = errStrayBytes
		}
	})
	if err != nil {
		return errServerHung
	}
	return found
}

// Read reads from the server. The system call and its count are one step under mu,
// so that begin sees each received byte either here or still in the kernel.
func (c *serverConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for {
			n, err = syscall.Read(int(fd), p)
			if err != syscall.EINTR {
				break
			}
		}
		if err == syscall.EAGAIN {
			return false
		}
		switch {
		case n > 0 && c.idle:
			n, err, c.doubt = 0, errStrayBytes, true
		case n > 0 && c.reused && !c.began:
			// The next request owns the connection but has not left: it still can use
			// another connection with proof that it did not run.
			n, err, c.doubt = 0, errStrayBytes, true
		case n > 0 && c.began:
			c.owner.read.Add(int64(n))
		case c.began:
			c.owner.ended.Store(true)
		}
		return true
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err == errStrayBytes:
		return 0, err
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0:
		return 0, io.EOF
	}
	c.sent(n)
	return n, nil
}

// Close closes the connection.
func (c *serverConn) Close() error {
	c.close.Do(c.gone)
	return c.Conn.Close()
}
