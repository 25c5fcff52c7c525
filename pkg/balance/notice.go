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
}

// HandleNotice records what the response to an attempt says about its server.
func (b *Balancer) HandleNotice(now fleet.Time, id pool.WorkID, n pool.ServerNotice) {
	a := b.attempts[id]
	if a == nil {
		return
	}
	s := b.servers[a.server]
	if s == nil || s.entry.Incarnation != a.incarnation {
		return
	}
	if n.HasRateLimit {
		b.nameLimit(now, s, n.RateLimit)
	}
	if n.Leaving && !s.notices.leaving {
		s.notices.leaving = true
		b.noticeEvent("server_leaving", s, "named by the server", nil)
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until > s.notices.pausedUntil {
		s.notices.pausedUntil = until
		b.noticeEvent("server_paused", s, "named by the server", map[string]string{"for_ms": strconv.FormatInt(n.Pause.Milliseconds(), 10)})
	}
}

func (b *Balancer) noticeEvent(kind fleet.EventKind, s *server, reason string, detail map[string]string) {
	b.event(fleet.Event{Kind: kind, Service: s.entry.Server.Service, Server: s.entry.Server.ID, Reason: reason, Detail: detail})
}

// heldFor returns how long what the server said keeps requests of this VM away from it: 0 if it does not,
// and math.MaxInt64 if it does for good.
func (b *Balancer) heldFor(now fleet.Time, s *server) time.Duration {
	l := &s.notices.limit
	switch {
	case !l.named:
		return 0
	case s.distance == otherRegion:
		return max(0, l.updated.Add(remoteLimitTTL).Sub(now))
	case !b.usesLimit(now, s):
		return math.MaxInt64
	}
	return l.wait(now)
}

// MaySend reports whether an attempt with a delay may still be sent to its server. Otherwise the attempt
// must be ended and another server chosen.
func (b *Balancer) MaySend(now fleet.Time, id pool.WorkID) bool {
	a := b.attempts[id]
	if a == nil {
		return false
	}
	s := b.servers[a.server]
	return s != nil && s.entry.Incarnation == a.incarnation && !s.unusable(now)
}

// unusable reports whether the server is shutting down or wants no request from this VM.
func (s *server) unusable(now fleet.Time) bool {
	return s.entry.Server.State != fleet.StateLive || now < s.leavingUntil
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
