package balance

import (
	"math"
	"strconv"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// notices is what a server said about itself in the headers of its responses.
type notices struct {
	limit       rateLimit
	leaving     bool       // it is shutting down
	pausedUntil fleet.Time // it wants no request from this VM before
}

// rateLimit is the rate of requests that a server accepts from all VMs together.
type rateLimit struct {
	rate    float64    // requests per second
	named   bool       // the server names a limit at present
	updated fleet.Time // when the latest response that names the limit, or shows that it has ended, was received; 0 for never
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
		b.setLimit(now, s, n.RateLimit)
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

// limitLogRatio is by how much a limit must change for another log line.
const limitLogRatio = 0.2

// setLimit applies a limit that a response received now names.
func (b *Balancer) setLimit(now fleet.Time, s *server, rate float64) {
	l := &s.notices.limit
	if !l.named || math.Abs(rate-l.rate) > limitLogRatio*l.rate {
		b.noticeEvent("server_limited", s, "named by the server", map[string]string{"limit": formatRate(rate), "before": l.String()})
	}
	l.rate, l.named, l.updated = rate, true, now
}

// endLimit ends the limit if a response without one was received after the latest that named one.
func (b *Balancer) endLimit(at fleet.Time, s *server) {
	l := &s.notices.limit
	if !l.named || at <= l.updated {
		return
	}
	b.noticeEvent("server_limit_ended", s, "a response does not name it", map[string]string{"before": l.String(), "for_ms": strconv.FormatInt(at.Sub(l.updated).Milliseconds(), 10)})
	l.rate, l.named, l.updated = 0, false, at
}

// endsLimit reports whether a response shows that its server names no limit. Only one that the server
// completed without a failure does.
func endsLimit(e pool.End) bool {
	served := e.State == pool.EndOK || e.State == pool.EndCallerError || e.State == pool.EndDraining
	return served && e.RespondedAt != 0 && !e.Notice.HasRateLimit && !e.Notice.InvalidRateLimit
}

// String returns the limit in requests per second, or "none".
func (l rateLimit) String() string {
	if !l.named {
		return "none"
	}
	return formatRate(l.rate)
}

func formatRate(r float64) string { return strconv.FormatFloat(r, 'f', 2, 64) }

func (b *Balancer) noticeEvent(kind fleet.EventKind, s *server, reason string, detail map[string]string) {
	b.event(fleet.Event{Kind: kind, Service: s.entry.Server.Service, Server: s.entry.Server.ID, Reason: reason, Detail: detail})
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
