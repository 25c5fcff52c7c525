package proxy

import (
	"sync"
	"time"
)

// callerLimits bounds what a caller may send and how long it may take.
type callerLimits struct {
	header     int           // bytes of a request header
	headerTime time.Duration // from the first to the last byte of a header; 0: as net/http bounds it
	idle       time.Duration // of a connection between two requests; 0: as net/http bounds it
}

// callerLimits returns the limits of the document in force, and those of the settings
// where it has none or allows more.
func (p *Proxy) callerLimits() callerLimits {
	l := callerLimits{header: p.limits.HeaderBytes}
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

// callerTimer holds the read deadlines of a caller's connection. net/http sets
// deadlines from the goroutine that reads and from handlers.
type callerTimer struct {
	mu        sync.Mutex
	outer     time.Time // that net/http set; zero for none
	idleSince time.Time // zero while a request is under way
	headerBy  time.Time // zero unless a header is under way
	between   bool      // the last byte read ended a request
}

// SetReadDeadline takes net/http's deadline and applies the earlier one of it and of
// the document's limits.
func (c *guardConn) SetReadDeadline(t time.Time) error {
	c.timer.mu.Lock()
	defer c.timer.mu.Unlock()
	c.timer.outer, c.timer.idleSince = t, time.Time{}
	// net/http sets a deadline after an answer, before the next request's first byte.
	if !t.IsZero() && c.timer.between {
		c.timer.idleSince = time.Now()
	}
	return c.apply()
}

// apply sets the earliest deadline. The caller holds the lock.
func (c *guardConn) apply() error {
	by := earlier(c.timer.outer, c.timer.headerBy)
	if idle := c.limits().idle; idle > 0 && !c.timer.idleSince.IsZero() {
		by = earlier(by, c.timer.idleSince.Add(idle))
	}
	return c.Conn.SetReadDeadline(by)
}

// stayIdle reports whether an idle connection whose deadline passed may stay, because
// the document in force allows more than the one before.
func (c *guardConn) stayIdle() bool {
	c.timer.mu.Lock()
	defer c.timer.mu.Unlock()
	idle, now := c.limits().idle, time.Now()
	if c.timer.idleSince.IsZero() || !now.Before(c.timer.outer) || idle > 0 && !now.Before(c.timer.idleSince.Add(idle)) {
		return false
	}
	return c.apply() == nil
}

// scanned starts or ends the time limit of a header, after bytes were scanned.
func (c *guardConn) scanned() {
	c.timer.mu.Lock()
	defer c.timer.mu.Unlock()
	c.timer.between = c.scan.served && c.scan.idle()
	under := c.scan.inHeader()
	if under == !c.timer.headerBy.IsZero() {
		return
	}
	c.timer.headerBy = time.Time{}
	if limit := c.limits().headerTime; under && limit > 0 {
		c.timer.headerBy = time.Now().Add(limit)
	}
	_ = c.apply() // fails only on a closed connection, which the next read reports
}

// earlier returns the earlier of two deadlines; zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
