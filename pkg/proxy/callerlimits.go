package proxy

import (
	"sync"
	"time"
)

// callerLimits limits the size and the duration of what a caller sends.
type callerLimits struct {
	header     int           // bytes of a request header
	headerTime time.Duration // from the first to the last byte of a header; 0 leaves it to net/http
	idle       time.Duration // of a connection between two requests; 0 leaves it to net/http
}

// callerLimits returns the limits of the current document. They apply in addition to those of the settings,
// which alone apply before the first document.
func (p *Proxy) callerLimits() callerLimits {
	l := callerLimits{header: p.limits.MaxHeaderBytes}
	index := p.engine.Routes()
	if index == nil {
		return l
	}
	callers := index.Doc.Callers
	if n := callers.MaxHeader; n > 0 {
		l.header = min(l.header, n)
	}
	l.headerTime, l.idle = time.Duration(callers.HeaderTimeout), time.Duration(callers.IdleTimeout)
	return l
}

// callerTimer holds the read deadlines of a caller's connection. net/http sets deadlines both from the
// goroutine that reads and from handlers.
type callerTimer struct {
	mu              sync.Mutex
	httpDeadline    time.Time // set by net/http; zero for none
	idleSince       time.Time // zero while a request is in progress
	headerDeadline  time.Time // zero unless a header is being read
	betweenRequests bool      // the last byte read ended a request
}

// SetReadDeadline records net/http's deadline and applies the earliest of it and the document's limits.
func (c *framingConn) SetReadDeadline(t time.Time) error {
	c.timer.mu.Lock()
	defer c.timer.mu.Unlock()
	c.timer.httpDeadline, c.timer.idleSince = t, time.Time{}
	// net/http sets a deadline after a response, before the first byte of the next request.
	if !t.IsZero() && c.timer.betweenRequests {
		c.timer.idleSince = time.Now()
	}
	return c.applyDeadline()
}

// applyDeadline sets the earliest deadline. c.timer.mu must be held.
func (c *framingConn) applyDeadline() error {
	deadline := earlier(c.timer.httpDeadline, c.timer.headerDeadline)
	if idle := c.limits().idle; idle > 0 && !c.timer.idleSince.IsZero() {
		deadline = earlier(deadline, c.timer.idleSince.Add(idle))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// extendIdle reports whether an idle connection whose deadline passed may stay open, because the
// current document allows a longer idle time than the previous one.
func (c *framingConn) extendIdle() bool {
	c.timer.mu.Lock()
	defer c.timer.mu.Unlock()
	idle, now := c.limits().idle, time.Now()
	if c.timer.idleSince.IsZero() || !now.Before(c.timer.httpDeadline) || idle > 0 && !now.Before(c.timer.idleSince.Add(idle)) {
		return false
	}
	return c.applyDeadline() == nil
}

// updateHeaderDeadline starts or clears the header deadline after data was scanned.
func (c *framingConn) updateHeaderDeadline() {
	c.timer.mu.Lock()
	defer c.timer.mu.Unlock()
	c.timer.betweenRequests = c.scanner.headerSeen && c.scanner.idle()
	inHeader := c.scanner.inHeader()
	if inHeader == !c.timer.headerDeadline.IsZero() {
		return
	}
	c.timer.headerDeadline = time.Time{}
	if limit := c.limits().headerTime; inHeader && limit > 0 {
		c.timer.headerDeadline = time.Now().Add(limit)
	}
	_ = c.applyDeadline() // fails only on a closed connection, which the next read reports
}

// earlier returns the earlier of two deadlines; zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
