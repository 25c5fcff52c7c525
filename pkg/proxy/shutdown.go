package proxy

import (
	"context"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Intervals of a shutdown.
const (
	// backlogTimeout is how long Shutdown waits for a connection that the kernel has accepted.
	backlogTimeout = 5 * time.Millisecond
	// backlogLimit is how long Shutdown accepts connections while new ones keep arriving, a twelfth of the default
	// grace period. What then waits is reset unread, so that callers repeat it elsewhere.
	backlogLimit = 500 * time.Millisecond
	// firstByteGrace is how long a new connection stays open without a byte of a request.
	firstByteGrace   = time.Second
	idleScanInterval = 10 * time.Millisecond
	// responseMargin is the time from a request's deadline to the end of the shutdown in which its response is
	// written: a step of the handler and one write, on a VM with a third of a core.
	responseMargin = 100 * time.Millisecond
)

// setExit records that the process ends with ctx, if ctx has a deadline. From then on requests that may take longer
// are not sent to servers; see finishesBeforeExit.
func (p *Proxy) setExit(ctx context.Context) {
	if end, ok := ctx.Deadline(); ok {
		p.exitAt.Store(int64(p.engine.Now().Add(time.Until(end) - responseMargin)))
	}
}

// finishesBeforeExit reports whether the request's deadline passes before the process ends. A request that the process
// does not outlive would run without an answer; refusing it lets the caller go to another VM.
func (x *exchange) finishesBeforeExit() bool {
	exit := fleet.Time(x.p.exitAt.Load())
	return exit == 0 || x.deadline <= exit
}

func (x *exchange) refuseForExit() *result.Error {
	return result.Errorf(result.Draining, "this VM ends before the request's deadline")
}

// callerConns holds the open connections of callers. http.Server.Shutdown alone would cut requests: it
// resets connections that wait to be accepted, and closes a connection as idle until it has read the
// whole header of a request.
type callerConns struct {
	mu        sync.Mutex
	conns     map[*framingConn]struct{}
	listeners []*framingListener
}

func (cc *callerConns) addListener(l *framingListener) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.listeners = append(cc.listeners, l)
}

func (cc *callerConns) add(c *framingConn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.conns == nil {
		cc.conns = make(map[*framingConn]struct{})
	}
	cc.conns[c] = struct{}{}
}

// observe is the ConnState hook of the server for callers.
func (cc *callerConns) observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*framingConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle: // the response of a request was sent
		c.mu.Lock()
		c.finished++
		c.releaseHeads(c.finished)
		c.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		c.closed = true
		c.releaseHeads(math.MaxInt)
		c.mu.Unlock()
		cc.mu.Lock()
		delete(cc.conns, c)
		cc.mu.Unlock()
	}
}

// closeIdle closes the connections without a request and returns how many stay open.
func (cc *callerConns) closeIdle(now time.Time) int {
	cc.mu.Lock()
	open := make([]*framingConn, 0, len(cc.conns))
	for c := range cc.conns {
		open = append(open, c)
	}
	cc.mu.Unlock()
	for _, c := range open {
		c.closeIfIdle(now)
	}
	return len(open) // net/http reports each closed connection to observe
}

// Shutdown stops a server that Serve runs, without cutting a request: connections that the kernel has
// accepted are served, and a connection is closed only if no byte of a request was received on it.
// Requests whose deadline is after that of ctx are refused unless they were sent to a server before.
// It returns the error of ctx if requests are still in flight when ctx ends.
func (p *Proxy) Shutdown(ctx context.Context, s *http.Server) error {
	p.setExit(ctx)
	p.callerConns.mu.Lock()
	listeners := p.callerConns.listeners
	p.callerConns.mu.Unlock()
	for _, l := range listeners {
		l.stop(ctx)
	}
	ticker := time.NewTicker(idleScanInterval)
	defer ticker.Stop()
	for p.callerConns.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
		}
	}
	return errors.Trace(s.Shutdown(ctx))
}

// stop makes Accept return the connections that the kernel has accepted and then close the listener.
func (l *framingListener) stop(ctx context.Context) {
	stopBy := time.Now().Add(backlogLimit)
	l.stopBy.Store(&stopBy)
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || d.SetDeadline(time.Now()) != nil {
		l.finishStop()
		return
	}
	select {
	case <-l.stopped:
	case <-ctx.Done():
	}
}

func (l *framingListener) finishStop() {
	l.stopOnce.Do(func() {
		_ = l.Close() // the listener accepts nothing more either way
		close(l.stopped)
	})
}

// Close closes the listener. It may be called again: http.Server closes a listener that stop has closed,
// and would return the error.
func (l *framingListener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// accept accepts a connection. While the listener is being stopped it waits backlogTimeout for one, and accepts none
// after backlogLimit.
func (l *framingListener) accept() (net.Conn, error) {
	for {
		stopBy := l.stopBy.Load()
		var waitUntil time.Time
		if stopBy != nil {
			if time.Now().After(*stopBy) {
				l.finishStop()
				return nil, net.ErrClosed
			}
			waitUntil = time.Now().Add(backlogTimeout)
			if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
				_ = d.SetDeadline(waitUntil) // fails only on a closed listener
			}
		}
		c, err := l.Listener.Accept()
		// The deadline that stop sets wakes a waiting Accept. It says nothing about the kernel's queue.
		interrupted := errors.Is(err, os.ErrDeadlineExceeded) && l.stopBy.Load() != nil && (stopBy == nil || time.Now().Before(waitUntil))
		switch {
		case err == nil:
			return c, nil
		case interrupted:
			continue
		case stopBy != nil:
			l.finishStop()
			return nil, net.ErrClosed
		}
		return nil, err
	}
}

// read reads from the connection. The system call and the update of c.scanning are one step under c.mu,
// so that closeIfIdle finds each received byte either counted or still in the kernel.
func (c *framingConn) read(p []byte) (n int, err error) {
	if c.raw == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closing {
			err = net.ErrClosed
			return true
		}
		n, err = readFD(int(fd), p)
		c.scanning = c.scanning || n > 0
		return err != syscall.EAGAIN
	})
	return readResult(c.Conn, n, err, rawErr)
}

// countRequests records the requests that the scanner has found.
func (c *framingConn) countRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started, c.scanning = c.scanner.requests, false
}

// closeIfIdle closes the connection unless a byte of an unanswered request was received, or the
// connection is new and its first request may be on the way.
func (c *framingConn) closeIfIdle(now time.Time) {
	if c.endReadsIfIdle(now) {
		c.Conn.Close() // not under c.mu: it waits for a read that has begun, which takes c.mu
	}
}

// endReadsIfIdle makes reads fail from now on if the connection may be closed, and reports whether it may.
func (c *framingConn) endReadsIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scanning || c.started > c.finished || c.started == 0 && now.Sub(c.accepted) < firstByteGrace {
		return false
	}
	c.closing = c.closing || c.raw == nil || pendingInput(c.raw) != inputBytes
	return c.closing
}
