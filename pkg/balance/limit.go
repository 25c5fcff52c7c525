package balance

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// A server's rate limit applies to all VMs together. Each VM keeps a token bucket for the server that is
// filled at the limit's rate and charged with its own attempts and with those that other VMs report. Requests
// that several VMs send before they hear of each other overdraw the bucket, and the next ones wait until the
// debt is paid. VMs of other regions, which hear of these attempts late, leave servers with a limit to the
// VMs of their region. While those say nothing of the limit, one VM of each other region uses a small part of it.
//
// A limit holds until a response shows that it has ended: an own one, or one that another VM reports with its
// age. That a VM does not know of a limit says nothing.

const (
	// limitBurst is how much of an unused limit is kept for a burst; at least one request.
	limitBurst = 250 * time.Millisecond
	// maxLimitDebt bounds the debt that one wrong or late report can cause.
	maxLimitDebt = 20 * time.Second
	// minLimitRate is the least rate, in requests per second of a region, at which a server is used. Only a
	// response can show that its limit has ended.
	minLimitRate = 0.25
	// remoteLimitTTL is how long other regions leave a server alone after a VM of its zone told them of its limit.
	remoteLimitTTL = 10 * time.Second
	// remoteLimitShare is the part of a limit that each other region uses. The VMs of the server's region do not hear
	// of these requests, so three other regions together stay below a third of the limit.
	remoteLimitShare = 0.1
	// minRemoteLimitRate is the least rate, in requests per second of another region. It keeps other regions from
	// holding on to a limit that has ended while the server's own region does not use the server.
	minRemoteLimitRate = 0.125
	// maxRemoteLimitUsers is the number of VMs of another region that use a server with a limit.
	maxRemoteLimitUsers = 1
	// noticeReportTTL is how long a change of a server's limit or use is part of each report. A lost report
	// then delays it until the next one.
	noticeReportTTL = time.Second
	// maxLimitUsers is the number of VMs that use a server with a limit. More would send it requests at the same
	// time, before they hear of each other.
	maxLimitUsers = 12
	// maxNoticeAge bounds the age of what another VM reports of a server's response. A limit does not end with time, so an
	// old report is as good as a new one unless a later response is known.
	maxNoticeAge = departedTTL
	// limitEndMargin is taken off the time of a response that ends a limit, if a digest reports it: digests travel
	// longer than responses, and one that was sent before the limit must not look later.
	limitEndMargin = 500 * time.Millisecond
	// limitEndTTL is how long after its end a digest says that the limit of an idle server has ended.
	limitEndTTL = 10 * time.Second
	// limitUserInterval is the interval at which the users of a limit are determined.
	limitUserInterval = time.Second
	// maxReportedRate is the largest rate, in requests per second, that is taken from a message.
	maxReportedRate = 1 << 30
	// maxReportedNotices bounds one report, so that it fits into a datagram.
	maxReportedNotices = 48
)

// rateLimit is the rate of requests that a server accepts from all VMs together, and its use.
type rateLimit struct {
	rate    float64    // requests per second
	named   bool       // the server names a limit at present
	known   bool       // a response is known that names a limit, or shows that there is none
	updated fleet.Time // when the latest such response was received; negative if that was before the start of this VM
	endedAt fleet.Time // when the end of the latest limit became known; 0 for never
	own     limitResponse

	excluded  bool       // this VM is not one of the users of the limit
	checkedAt fleet.Time // when excluded was determined; 0 for never

	tokens     float64 // requests that may be sent now; negative while in debt
	filled     fleet.Time
	starts     uint32                // attempts of this VM since it knows the limit
	recent     []fleet.Time          // when those of the last noticeReportTTL were started
	peerStarts map[fleet.VMID]uint32 // the same of other VMs, by their last reports

	// Of the server of another region:
	toldAt     fleet.Time // when its zone told of the limit; 0 for never
	remoteNext fleet.Time // earliest time of this VM's next request
}

// limitResponse is what the latest response to this VM says about a server's limit.
type limitResponse struct {
	rate  float64
	named bool
	at    fleet.Time // 0 for no response
}

// ServerNotice reports a VM's use of a server's rate limit, and what the server's latest response to that VM says
// about the limit.
type ServerNotice struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server      fleet.ServerID
	Incarnation int64
	Starts      uint32  // attempts of the VM since it knows the limit
	Recent      uint32  // of these, started within noticeReportTTL before the report
	Named       bool    // the response names a limit
	Rate        float32 // requests per second, if Named
	AgeMS       int64   // milliseconds from the response to the report; negative without a response
	Leaving     bool    // the server said that it is shutting down
}

// set applies what a response received at the given time says, unless a later one is known. A bucket
// starts empty, since the server got as many requests as it could before.
func (l *rateLimit) set(now, at fleet.Time, rate float64, named bool) {
	if l.known && at <= l.updated {
		return
	}
	if !named {
		if l.named {
			*l = rateLimit{own: l.own, endedAt: max(now, 1)}
		}
		l.known, l.updated = true, at
		return
	}
	begins := !l.named
	if begins {
		l.filled = now
	} else {
		l.fill(now)
	}
	l.rate, l.named, l.known, l.updated = max(rate, minLimitRate), true, true, at
	if begins {
		l.remoteNext = now.Add(l.remoteInterval())
	}
}

// remoteInterval is the interval between two requests of another region to the server.
func (l *rateLimit) remoteInterval() time.Duration {
	return time.Duration(float64(time.Second) / max(minRemoteLimitRate, remoteLimitShare*l.rate))
}

// burst returns the capacity of the bucket.
func (l *rateLimit) burst() float64 { return max(1, l.rate*limitBurst.Seconds()) }

// fill adds the tokens of the time since the last call.
func (l *rateLimit) fill(now fleet.Time) {
	l.tokens = min(l.burst(), l.tokens+l.rate*now.Sub(l.filled).Seconds())
	l.filled = now
}

// charge takes the tokens of n requests.
func (l *rateLimit) charge(now fleet.Time, n float64) {
	l.fill(now)
	l.tokens = max(l.tokens-n, -max(1, l.rate*maxLimitDebt.Seconds()))
}

// wait returns how long it takes until the limit allows another request.
func (l *rateLimit) wait(now fleet.Time) time.Duration {
	l.fill(now)
	return time.Duration(max(0, (1-l.tokens)/l.rate) * float64(time.Second))
}

// chargePeer charges the requests that another VM sent since its previous report; of the first report, the
// recent ones. A lower count comes from a restarted process or late, and only replaces the count.
func (l *rateLimit) chargePeer(now fleet.Time, vm fleet.VMID, u ServerNotice) {
	before, known := l.peerStarts[vm]
	if l.peerStarts == nil {
		l.peerStarts = make(map[fleet.VMID]uint32)
	}
	l.peerStarts[vm] = u.Starts
	switch {
	case !known:
		l.charge(now, float64(min(u.Recent, u.Starts)))
	case u.Starts > before:
		l.charge(now, float64(u.Starts-before))
	}
}

// recentStarts returns how many attempts of this VM were started within noticeReportTTL.
func (l *rateLimit) recentStarts(now fleet.Time) uint32 {
	l.recent = slices.DeleteFunc(l.recent, func(at fleet.Time) bool { return now.Sub(at) > noticeReportTTL })
	return uint32(len(l.recent))
}

// String returns the limit in requests per second, or "none".
func (l rateLimit) String() string {
	if !l.named {
		return "none"
	}
	return formatRate(l.rate)
}

func formatRate(r float64) string { return strconv.FormatFloat(r, 'f', 2, 64) }

// limitWait returns how long the rate limit of a server keeps requests of this VM away from it: 0 if it does not, and
// math.MaxInt64 if this VM leaves the limit to others.
func (b *Balancer) limitWait(now fleet.Time, s *server) time.Duration {
	l := &s.notices.limit
	switch {
	case !l.named:
		return 0
	case !b.usesLimit(now, s):
		return math.MaxInt64
	case s.distance != otherRegion:
		return l.wait(now)
	case l.toldAt != 0 && now.Sub(l.toldAt) < remoteLimitTTL:
		return math.MaxInt64
	}
	return max(0, l.remoteNext.Sub(now))
}

// usesLimit reports whether this VM is one of the users of the server's limit.
func (b *Balancer) usesLimit(now fleet.Time, s *server) bool {
	l := &s.notices.limit
	if l.checkedAt == 0 || now.Sub(l.checkedAt) >= limitUserInterval {
		l.excluded, l.checkedAt = b.isPreceded(s), max(now, 1)
	}
	return !l.excluded
}

// isPreceded reports whether so many VMs of the region precede this VM as users of the server's limit that it is
// not one of them. VMs of the server's zone precede others, and a hash orders those of a group differently for
// each server.
func (b *Balancer) isPreceded(s *server) bool {
	users := maxLimitUsers
	if s.distance == otherRegion {
		users = maxRemoteLimitUsers
	}
	hash := func(vm fleet.VMID) uint64 { return xxhash.Sum64String(string(vm) + "/" + string(s.entry.Server.ID)) }
	own, inOwnGroup, preceding := hash(b.cfg.Self), s.distance == inZone, 0
	for id, p := range b.peers {
		near := p.zone == s.entry.Server.Zone
		if near && !inOwnGroup || near == inOwnGroup && hash(id) > own {
			if preceding++; preceding >= users {
				return true
			}
		}
	}
	return false
}

// startLimited records an attempt of this VM, sent at a time, at a server with a limit.
func (b *Balancer) startLimited(now, at fleet.Time, s *server) {
	l := &s.notices.limit
	l.charge(now, 1)
	l.remoteNext = at.Add(l.remoteInterval())
	l.starts++
	l.recentStarts(now)
	l.recent = append(l.recent, now)
	b.limitedStarts++
	b.noticeChanged(now, s)
}

// noticeChanged schedules reports of what a server said and of the use of its limit.
func (b *Balancer) noticeChanged(now fleet.Time, s *server) {
	s.notices.changed = now
	b.noticeChanges[s.entry.Server.ID] = struct{}{}
	b.zone.schedule(now)
	b.region.schedule(now)
}

// limitLogRatio is by how much a limit must change for another log line.
const limitLogRatio = 0.2

// nameLimit applies a limit that a response to this VM names.
func (b *Balancer) nameLimit(now fleet.Time, s *server, rate float64) {
	l := &s.notices.limit
	if !l.own.named || math.Abs(rate-l.own.rate) > limitLogRatio*l.own.rate {
		b.noticeEvent("server_limited", s, "named by the server", map[string]string{"limit": formatRate(rate), "before": l.String()})
	}
	l.own = limitResponse{rate, true, now}
	l.set(now, now, rate, true)
	b.noticeChanged(now, s)
}

// endLimit records a response without a limit, and ends the limit if it was received after the latest that named one.
func (b *Balancer) endLimit(now, at fleet.Time, s *server) {
	l := &s.notices.limit
	if l.known && at <= l.updated {
		return
	}
	ends := l.named
	if ends {
		b.noticeEvent("server_limit_ended", s, "a response does not name it", map[string]string{"before": l.String()})
	}
	l.own = limitResponse{at: at}
	l.set(now, at, 0, false)
	if ends {
		b.noticeChanged(now, s)
	}
}

// endsLimit reports whether a response shows that its server names no limit. Only one that the server
// completed without a failure does.
func endsLimit(e pool.End) bool {
	served := e.State == pool.EndOK || e.State == pool.EndCallerError || e.State == pool.EndDraining
	return served && e.RespondedAt != 0 && !e.Notice.HasRateLimit && !e.Notice.InvalidRateLimit
}

// reportedNotices returns, for a report, what recently changed in the notices of servers and the use of their limits.
func (b *Balancer) reportedNotices(now fleet.Time) []ServerNotice {
	var recent []*server
	for id := range b.noticeChanges {
		s := b.servers[id]
		if s == nil || now.Sub(s.notices.changed) > noticeReportTTL {
			delete(b.noticeChanges, id)
			continue
		}
		recent = append(recent, s)
	}
	slices.SortFunc(recent, func(x, y *server) int {
		return cmp.Or(cmp.Compare(y.notices.changed, x.notices.changed), cmp.Compare(x.entry.Server.ID, y.entry.Server.ID))
	})
	var out []ServerNotice
	for _, s := range recent[:min(len(recent), maxReportedNotices)] {
		l := &s.notices.limit
		u := ServerNotice{Server: s.entry.Server.ID, Incarnation: s.entry.Incarnation, Starts: l.starts, Recent: l.recentStarts(now), AgeMS: -1, Leaving: s.notices.leaving}
		if l.own.at != 0 {
			u.Named, u.Rate, u.AgeMS = l.own.named, float32(l.own.rate), now.Sub(l.own.at).Milliseconds()
		}
		out = append(out, u)
	}
	return out
}

// applyNotice applies what another VM reports of a server's notices and of its use of the limit.
func (b *Balancer) applyNotice(now fleet.Time, from fleet.VMID, u ServerNotice) {
	s := b.servers[u.Server]
	if s == nil || s.entry.Incarnation != u.Incarnation {
		return
	}
	if u.Leaving {
		s.notices.leaving = true
	}
	l := &s.notices.limit
	if isNoticeAge(u.AgeMS) && isRate(u.Rate) {
		l.set(now, now.Add(-time.Duration(u.AgeMS)*time.Millisecond), float64(u.Rate), u.Named)
	}
	if l.named {
		l.chargePeer(now, from, u)
	}
}

// isRate reports whether a rate in a message is possible; comparisons with NaN are false.
func isRate(r float32) bool { return r >= 0 && r <= maxReportedRate }

// isNoticeAge reports whether an age in a message, in milliseconds, is one of a response.
func isNoticeAge(ms int64) bool { return ms >= 0 && ms <= maxNoticeAge.Milliseconds() }

// estimate adds what this VM knows of the limit to the estimate of its server.
func (l *rateLimit) estimate(now fleet.Time, e *ServerEstimate) {
	if !l.known {
		return
	}
	e.LimitAgeMS = max(0, now.Sub(l.updated).Milliseconds())
	if l.named {
		e.Limit = float32(l.rate)
	} else {
		e.Unlimited = true
	}
}

// isNews reports whether a digest must tell of the limit although nothing else is to be said of its server.
func (l *rateLimit) isNews(now fleet.Time) bool {
	return l.named || l.endedAt != 0 && now.Sub(l.endedAt) <= limitEndTTL
}

// applyEstimate applies what another VM knows of the limit, unless a later response is known here.
func (l *rateLimit) applyEstimate(now fleet.Time, e ServerEstimate) {
	if !isNoticeAge(e.LimitAgeMS) || !isRate(e.Limit) {
		return
	}
	at := now.Add(-time.Duration(e.LimitAgeMS) * time.Millisecond)
	switch {
	case e.Limit > 0:
		l.toldAt = max(now, 1)
		l.set(now, at, float64(e.Limit), true)
	case e.Unlimited:
		l.set(now, at.Add(-limitEndMargin), 0, false)
	}
}
