// Package quota enforces the request quotas of workspaces over all VMs of a fleet together. No VM owns a quota and no
// request waits for another VM.
//
// Each VM keeps an account of every workspace in use: how many requests the fleet may admit now, filled at the quota's
// rate and charged with this VM's own requests at once and with those of other VMs as they report them. From the
// account and the demand that all VMs report follows the share of requests to admit, which is the same at each VM. So a
// workspace's room goes where its requests arrive, and callers that move to another zone find the same room there.
//
// Reports are late, so the share falls before the account is empty. A VM that hears nothing of a part of the fleet
// leaves to it the part of each quota that belongs to its VMs, so that the sides of a partition together stay within
// the quota.
//
// The package is deterministic: it uses no clock, socket or goroutine.
package quota

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

const (
	// demandTime is the time over which rates are averaged.
	demandTime = 300 * time.Millisecond
	// burstTime is the time in which a full account may be used up. Reports travel for up to half of it; with less, VMs
	// would overdraw the account before they hear of each other.
	burstTime = 400 * time.Millisecond
	// minBurst is the least burst, as the time in which the quota's rate fills it. It keeps requests that arrive unevenly
	// from being refused although their rate is within the quota.
	minBurst = 250 * time.Millisecond
	// startBurst is the burst after a start, as the time in which the quota's rate fills it. When a whole fleet comes back,
	// the callers of the outage return at once, and nothing was used during the outage. When only some VMs do, the others
	// tell them what is left.
	startBurst = 600 * time.Millisecond
	// maxDebtTime bounds the debt that wrong or late reports can cause, as the time in which the quota's rate pays it.
	maxDebtTime = 2 * time.Second
	// pauseThreshold is the time between two ticks after which this VM counts as paused: it missed reports meanwhile.
	pauseThreshold = time.Second
	// idleTime is how long an account without requests is kept.
	idleTime = 30 * time.Second
	// limitedTime is how long after its last refusal a workspace counts as limited.
	limitedTime = 2 * time.Second
	// sweepInterval is the interval at which idle accounts are looked for.
	sweepInterval = time.Second
	// Bounds of the delay that is suggested with a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// StartDelay is the time after the start in which a VM learns of the others. Requests should wait for its end.
const StartDelay = 300 * time.Millisecond

// Config holds the VM's identity and the parameters of a Limiter.
type Config struct {
	Zone fleet.Zone
	Seed uint64
	// Slack is the number of requests of a workspace that the fleet may admit beyond its quota in any 5 s. Half of it
	// widens the burst, the rest covers late reports.
	Slack float64
}

// Limiter decides which requests one VM admits.
type Limiter struct {
	cfg         Config
	rng         *rand.Rand
	quotas      func(workspace string) document.Quota
	accounts    map[string]*account
	sources     map[string]*source // by VM of this zone
	zones       map[fleet.Zone]*zone
	members     Members
	share       float64    // part of each quota that belongs to the VMs heard from
	loggedShare float64    // of the last event
	since       fleet.Time // when this VM began to hear the reports
	ticked      fleet.Time
	reported    fleet.Time // last ZoneReport
	swept       fleet.Time
	events      []fleet.Event
}

// account is the state of a workspace's quota.
type account struct {
	quota    document.Quota
	level    float64 // requests that may be admitted now; negative while in debt
	filledAt fleet.Time
	own      flow
	peers    map[*source]*flow
	used     fleet.Time // last request or report
	limited  bool       // requests are being refused
	refused  fleet.Time // the last of them
	promised fleet.Time // latest time at which a refused caller was told to return

	unreported pending // of this VM, for the VMs of its zone
	zone       pending // of the VMs of this zone, for other zones
}

// New returns a Limiter that knows no quota and no other VM.
func New(cfg Config, now fleet.Time) *Limiter {
	return &Limiter{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x71756f7461)), since: now, ticked: now, share: 1, loggedShare: 1,
		accounts: make(map[string]*account), sources: make(map[string]*source), zones: make(map[fleet.Zone]*zone),
	}
}

// SetQuotas replaces the quotas. The function returns the quota of a workspace, with rate 0 for no limit.
func (l *Limiter) SetQuotas(now fleet.Time, quotas func(workspace string) document.Quota) {
	l.quotas = quotas
	for name, a := range l.accounts {
		l.fill(now, a)
		if a.quota = quotas(name); a.quota.Rate <= 0 {
			delete(l.accounts, name)
			continue
		}
		a.level = min(a.level, l.capacity(a))
	}
}

// SetSlack replaces Config.Slack.
func (l *Limiter) SetSlack(slack float64) { l.cfg.Slack = slack }

// account returns the account of a workspace, or nil if it has no quota.
func (l *Limiter) account(now fleet.Time, workspace string) *account {
	if a := l.accounts[workspace]; a != nil {
		l.fill(now, a)
		return a
	}
	if l.quotas == nil {
		return nil
	}
	quota := l.quotas(workspace)
	if quota.Rate <= 0 {
		return nil
	}
	a := &account{quota: quota, filledAt: now, peers: make(map[*source]*flow)}
	// Nobody reported requests of this workspace since then.
	a.level = min(l.capacity(a), l.share*l.startBurst(quota)+quota.Rate*l.share*now.Sub(l.since).Seconds())
	l.accounts[workspace] = a
	return a
}

// capacity returns the most that an account may hold.
func (l *Limiter) capacity(a *account) float64 {
	return l.share * max(a.quota.Burst+l.cfg.Slack/2, a.quota.Rate*minBurst.Seconds(), 1)
}

// startBurst returns what an account of the whole fleet holds after a start, when the use until then is not known.
func (l *Limiter) startBurst(q document.Quota) float64 {
	return min(q.Rate*startBurst.Seconds(), q.Burst) + l.cfg.Slack/4
}

// fill brings an account up to date.
func (l *Limiter) fill(now fleet.Time, a *account) {
	elapsed := now.Sub(a.filledAt)
	if elapsed <= 0 {
		return
	}
	a.level = min(a.level+a.quota.Rate*l.share*elapsed.Seconds(), l.capacity(a))
	a.filledAt = now
}

// charge takes n requests from an account.
func (l *Limiter) charge(a *account, n float64) { l.setLevel(a, a.level-n) }

func (l *Limiter) setLevel(a *account, level float64) {
	debt := maxDebtTime.Seconds()*a.quota.Rate + l.cfg.Slack
	a.level = max(min(level, l.capacity(a)), -debt)
}

// demand returns the requests per second that the VMs heard from receive for a workspace.
func (a *account) demand(now fleet.Time) float64 {
	sum := a.own.askedAt(now)
	for s, f := range a.peers {
		if s.lost(now) {
			delete(a.peers, s)
			continue
		}
		sum += f.askedAt(s.heard)
	}
	return sum
}

// allowed returns the requests per second that the VMs heard from may admit together.
func (l *Limiter) allowed(a *account) float64 {
	return max(0, a.quota.Rate*l.share+a.level/burstTime.Seconds())
}

// Take decides on a request. If it is refused, retryAfter is the time until this VM has room for its caller.
func (l *Limiter) Take(now fleet.Time, workspace string) (retryAfter time.Duration, ok bool) {
	a := l.account(now, workspace)
	if a == nil {
		return 0, true
	}
	a.used = now
	a.own.ask(now)
	a.count(now, pending{asked: 1})
	demand, allowed := a.demand(now), l.allowed(a)
	elsewhere := (demand - a.own.askedAt(now)) * burstTime.Seconds() // what other VMs may admit before they are heard
	covered := a.level >= 1+elsewhere
	if !covered && l.rng.Float64()*demand >= allowed {
		l.refuse(now, workspace, a, demand)
		return l.retryAfter(now, a, demand, allowed), false
	}
	l.charge(a, 1)
	a.count(now, pending{admitted: 1})
	return 0, true
}

// retryAfter returns the delay after which a refused caller may return. Successive callers get successive times, at the
// rate at which this VM may admit requests.
func (l *Limiter) retryAfter(now fleet.Time, a *account, demand, allowed float64) time.Duration {
	rate := max(allowed, a.quota.Rate*l.share) * a.own.askedAt(now) / demand
	wait := maxRetryAfter
	if rate > 1/maxRetryAfter.Seconds() {
		wait = time.Duration(float64(time.Second) / rate)
	}
	a.promised = min(max(a.promised, now).Add(wait), now.Add(maxRetryAfter))
	return max(a.promised.Sub(now), minRetryAfter)
}

// Return gives back a request that was admitted and provably did not run.
func (l *Limiter) Return(now fleet.Time, workspace string) {
	a := l.accounts[workspace]
	if a == nil {
		return // the quota was removed
	}
	l.fill(now, a)
	l.charge(a, -1)
	a.count(now, pending{admitted: -1})
}

// Tick forgets idle accounts, and notices when this VM did not run for a while.
func (l *Limiter) Tick(now fleet.Time) {
	if now.Sub(l.ticked) > pauseThreshold {
		l.resume(now)
	}
	l.ticked = now
	l.updateShare(now)
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	for name, a := range l.accounts {
		if a.limited && now.Sub(a.refused) > limitedTime {
			a.limited = false
			l.accountEvent("quota_available", name, a, a.demand(now))
		}
		if l.fill(now, a); now.Sub(a.used) > idleTime && a.level >= l.capacity(a) {
			delete(l.accounts, name)
		}
	}
	l.forgetSources(now)
}

// resume empties the accounts after a pause: other VMs may have used what was free meanwhile.
func (l *Limiter) resume(now fleet.Time) {
	l.since = now
	for _, a := range l.accounts {
		a.level, a.filledAt = min(a.level, l.share*l.cfg.Slack/2), now
	}
}

// refuse records a refusal. The first of several is logged.
func (l *Limiter) refuse(now fleet.Time, workspace string, a *account, demand float64) {
	if !a.limited {
		l.accountEvent("quota_exhausted", workspace, a, demand)
	}
	a.limited, a.refused = true, now
}

// accountEvent adds an event with what decides on a workspace's requests.
func (l *Limiter) accountEvent(kind fleet.EventKind, workspace string, a *account, demand float64) {
	l.events = append(l.events, fleet.Event{Kind: kind, Reason: workspace, Detail: map[string]string{
		"rate": format(a.quota.Rate), "demand": format(demand), "level": format(a.level), "share": format(l.share),
	}})
}

func format(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// Usage describes the accounts for metrics.
type Usage struct {
	Accounts int     // workspaces in use
	Limited  int     // of these, the ones whose requests are being refused
	Share    float64 // part of each quota that belongs to the VMs heard from
}

// Usage returns the state of the accounts.
func (l *Limiter) Usage() Usage {
	u := Usage{Accounts: len(l.accounts), Share: l.share}
	for _, a := range l.accounts {
		if a.limited {
			u.Limited++
		}
	}
	return u
}

// Events returns and clears the events since the last call.
func (l *Limiter) Events() []fleet.Event {
	out := l.events
	l.events = nil
	return out
}
