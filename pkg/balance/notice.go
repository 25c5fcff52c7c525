package balance

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// notices is what a server said about itself in the headers of its responses.
type notices struct {
	limit       rateLimit
	leaving     bool       // it is shutting down
	pausedUntil fleet.Time // it wants no request from this VM before
	changed     fleet.Time // latest change that other VMs are told
}

// departedServer is what a server said that is no longer registered.
type departedServer struct {
	incarnation int64
	notices     notices
	at          fleet.Time
}

// departedTTL is how long the notices of a departed server are kept for the case that its registration, lost
// with the store, comes back.
const departedTTL = 10 * time.Minute

// HandleNotice records what the response to an attempt says about its server.
func (b *Balancer) HandleNotice(now fleet.Time, id pool.WorkID, n pool.ServerNotice) {
	a := b.attempts[id]
	if a == nil {
		return
	}
	s := b.servers[a.server]
	if s == nil {
		b.noticeOfDeparted(now, a, n)
		return
	}
	if s.entry.Incarnation != a.incarnation {
		return
	}
	if n.HasRateLimit {
		b.nameLimit(now, s, n.RateLimit)
	}
	if n.Leaving && !s.notices.leaving {
		s.notices.leaving = true
		b.noticeChanged(now, s)
		b.noticeEvent("server_leaving", s, "named by the server", nil)
	}
	if s.notices.pause(now, n.Pause) {
		b.noticeEvent("server_paused", s, "named by the server", map[string]string{"for_ms": strconv.FormatInt(n.Pause.Milliseconds(), 10)})
	}
}

// tellNotices schedules reports of what servers said to this VM, for a VM that is heard for the first time: it may have
// started just now.
func (b *Balancer) tellNotices(now fleet.Time) {
	for _, s := range b.servers {
		if s.notices.leaving || s.notices.limit.named && s.notices.limit.own.named {
			b.noticeChanged(now, s)
		}
	}
}

// pause keeps requests away for d, and reports whether that is longer than before.
func (n *notices) pause(now fleet.Time, d time.Duration) bool {
	if until := now.Add(d); d > 0 && until > n.pausedUntil {
		n.pausedUntil = until
		return true
	}
	return false
}

// noticeOfDeparted records a response that arrives when its server is no longer registered.
func (b *Balancer) noticeOfDeparted(now fleet.Time, a *attempt, n pool.ServerNotice) {
	d, known := b.departed[a.server]
	if known && a.incarnation < d.incarnation {
		return
	}
	if a.incarnation != d.incarnation {
		d = departedServer{incarnation: a.incarnation}
	}
	d.at = now
	d.notices.leaving = d.notices.leaving || n.Leaving
	if n.HasRateLimit {
		d.notices.limit.own = limitResponse{n.RateLimit, true, now}
		d.notices.limit.set(now, now, n.RateLimit, true)
	}
	d.notices.pause(now, n.Pause)
	b.departed[a.server] = d
}

// depart removes a server and keeps what it said.
func (b *Balancer) depart(now fleet.Time, id fleet.ServerID) {
	s := b.servers[id]
	if s == nil {
		return
	}
	if n := &s.notices; n.leaving || n.limit.named || now < n.pausedUntil {
		b.departed[id] = departedServer{s.entry.Incarnation, *n, now}
	}
	b.remove(id)
}

// returned restores what a server said before its registration was removed, if it is still the same incarnation.
func (b *Balancer) returned(s *server) {
	id := s.entry.Server.ID
	if d, ok := b.departed[id]; ok && d.incarnation == s.entry.Incarnation {
		s.notices = d.notices
	}
	delete(b.departed, id)
}

func (b *Balancer) forgetDeparted(now fleet.Time) {
	for id, d := range b.departed {
		if now.Sub(d.at) > departedTTL {
			delete(b.departed, id)
		}
	}
}

func (b *Balancer) noticeEvent(kind fleet.EventKind, s *server, reason string, detail map[string]string) {
	b.event(fleet.Event{Kind: kind, Service: s.entry.Server.Service, Server: s.entry.Server.ID, Reason: reason, Detail: detail})
}

// MaySend reports whether an attempt with a delay may still be sent to its server. Otherwise the attempt
// must be ended and another server chosen.
func (b *Balancer) MaySend(now fleet.Time, id pool.WorkID) bool {
	a := b.attempts[id]
	if a == nil {
		return false
	}
	s := b.servers[a.server]
	return s != nil && s.entry.Incarnation == a.incarnation && !s.isLeaving(now) && now >= s.notices.pausedUntil
}

// isLeaving reports whether the server is shutting down, by its registration or its own word.
func (s *server) isLeaving(now fleet.Time) bool {
	return s.entry.Server.State != fleet.StateLive || now < s.leavingUntil || s.notices.leaving
}

// heldServers counts the servers that their notices keep out of a choice.
type heldServers struct {
	count int
	until time.Duration // until the first of them may be used again; 0 if none may
}

func (h *heldServers) add(wait time.Duration) {
	h.count++
	if wait != math.MaxInt64 && (h.until == 0 || wait < h.until) {
		h.until = wait
	}
}

// NoticeCounts returns the numbers of servers with a rate limit, of those that are shutting down by their own
// word, and of those that want no request from this VM at present.
func (b *Balancer) NoticeCounts(now fleet.Time) (limited, leaving, paused int) {
	for _, s := range b.servers {
		if s.notices.limit.named {
			limited++
		}
		if s.notices.leaving {
			leaving++
		}
		if now < s.notices.pausedUntil {
			paused++
		}
	}
	return limited, leaving, paused
}

// LimitedStarts returns the number of attempts that this VM started at servers with a rate limit.
func (b *Balancer) LimitedStarts() int { return b.limitedStarts }
