package keys

import (
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// quietTries is how many sends may stay without a decision before other VMs are
// asked for a newer view: all members of the known one may be gone.
const quietTries = 2

// request is a reservation of this VM, from Reserve to Finish.
type request struct {
	id          ReserveID
	shard       shard.ID
	scope       Scope
	fingerprint uint64
	deadline    fleet.Time
	number      uint64 // of the current attempt
	decided     bool   // it was told to run

	view      shard.View // that the acceptances below are for
	owner     bool       // the owner accepted
	copied    bool       // the copy accepted
	copyAsked bool       // the copy may hold a record of the current attempt
	behind    bool       // the owner holds an earlier attempt: only the owner is asked
	retryAt   fleet.Time
	sentAt    fleet.Time
	last      GrantState // last answer that was no acceptance
	tries     int        // sends since the last new view
}

// ending is an end on its way to the members.
type ending struct {
	end       End
	owner     bool
	copied    bool
	retryAt   fleet.Time
	forgetAt  fleet.Time
	forgotten bool
	tries     int // sends since the last new view
}

// Reserve asks for the right to run a request once. The outcome comes from Decisions.
func (k *Keys) Reserve(now fleet.Time, id ReserveID, workspace string, scope Scope, fingerprint uint64, deadline fleet.Time) {
	k.now = max(k.now, now)
	q := &request{id: id, scope: scope, fingerprint: fingerprint, deadline: deadline}
	if scope.Key == "" || len(scope.Key) > maxKeyBytes || scope.size() > maxScopeBytes {
		k.decide(q, refuse(result.KeyInvalid))
		return
	}
	var ok bool
	if q.shard, ok = k.shardOf(workspace, scope); !ok {
		k.decide(q, refuse(result.NotReady))
		return
	}
	k.requests[id] = q
	k.waiting = append(k.waiting, q)
	k.newAttempt(q)
	k.ask(now, q)
	k.deliverOwn(now)
}

func (k *Keys) newAttempt(q *request) {
	delete(k.byAttempt, q.number)
	k.number++
	q.number = k.number
	k.byAttempt[q.number] = q
	q.owner, q.copied, q.copyAsked = false, false, false
}

func (k *Keys) attempt(number uint64) Attempt { return Attempt{k.cfg.Self, number} }

// ask sends the reservation to the members of the newest view that have not
// accepted it in that view.
func (k *Keys) ask(now fleet.Time, q *request) {
	q.retryAt = now.Add(k.cfg.Retry)
	view, ok := k.cfg.Authority.View(q.shard)
	if !ok {
		k.cfg.Membership.Resolve(now, q.shard)
		return
	}
	if view != q.view {
		q.view, q.owner, q.copied, q.tries = view, false, false, 0
	}
	if q.tries++; q.tries > quietTries {
		k.cfg.Membership.Resolve(now, q.shard)
	}
	q.sentAt = now
	reserve := Reserve{View: view, Scope: q.scope, Attempt: k.attempt(q.number), Fingerprint: q.fingerprint}
	if !q.owner {
		p := k.to(view.Owner.VM)
		p.reserves = append(p.reserves, reserve)
	}
	if !q.copied && !view.Copy.IsZero() && !q.behind {
		q.copyAsked = true
		p := k.to(view.Copy.VM)
		p.reserves = append(p.reserves, reserve)
	}
}

func (k *Keys) onGrant(now fleet.Time, from fleet.Member, g Grant) {
	if g.State == GrantStale {
		k.cfg.Membership.Observe(now, g.View)
	}
	q := k.byAttempt[g.Attempt.Number]
	if q == nil || g.Attempt.Caller != k.cfg.Self || q.decided {
		return
	}
	if now >= q.deadline {
		k.expireRequest(now, q)
		return
	}
	if g.State == GrantStale {
		if newest, ok := k.cfg.Authority.View(q.shard); ok && newest != q.view {
			k.ask(now, q)
		}
		return
	}
	isOwner, isCopy := from == q.view.Owner, from == q.view.Copy
	if g.View != q.view || !isOwner && !isCopy {
		return
	}
	switch g.State {
	case GrantAccepted:
		k.onAccepted(now, q, isOwner)
	case GrantDone:
		k.withdraw(now, q)
		if g.Answer == nil {
			k.decide(q, refuse(result.KeyAnswerDropped))
			return
		}
		k.decide(q, Decision{Verdict: VerdictReplay, Code: result.OK, Answer: g.Answer})
	case GrantUnknown:
		k.withdraw(now, q)
		k.decide(q, refuse(result.KeyUnknown))
	case GrantMismatch:
		k.withdraw(now, q)
		k.decide(q, refuse(result.KeyMismatch))
	default:
		k.onHeldBack(now, q, g.State, isOwner)
	}
}

func (k *Keys) onAccepted(now fleet.Time, q *request, isOwner bool) {
	if isOwner {
		q.owner = true
		if q.behind {
			q.behind = false
			k.ask(now, q)
		}
	} else {
		q.copied = true
	}
	if !q.owner || !q.copied && !q.view.Copy.IsZero() {
		return
	}
	by := q.sentAt.Add(DispatchLimit)
	if now >= by {
		// No other attempt ran, and this one is withdrawn.
		k.withdraw(now, q)
		k.decide(q, refuse(result.DispatchTooLate))
		return
	}
	q.decided = true
	k.decide(q, Decision{Verdict: VerdictRun, Code: result.OK, DispatchBy: by})
}

// onHeldBack handles answers after which the request waits, and proofs of refusal
// that only the owner can give.
func (k *Keys) onHeldBack(now fleet.Time, q *request, state GrantState, isOwner bool) {
	switch {
	case state == GrantFull && (isOwner || q.owner):
		k.withdraw(now, q)
		k.decide(q, refuse(result.KeyTableFull))
	case state == GrantLost:
		k.withdraw(now, q)
		k.decide(q, refuse(result.KeyHistoryLost))
	case state == GrantRunning && isOwner && !q.behind:
		// The copy's record of this attempt would block the attempt that the owner
		// prefers. A later try needs a new number, because this one is released.
		if q.copyAsked {
			k.release(now, q)
			k.newAttempt(q)
		}
		q.behind = true
	}
	q.last = state
}

// withdraw ends the request here and its attempt at the members.
func (k *Keys) withdraw(now fleet.Time, q *request) {
	k.release(now, q)
	k.forget(q)
}

func (k *Keys) forget(q *request) {
	q.decided = true
	delete(k.requests, q.id)
	delete(k.byAttempt, q.number)
}

func (k *Keys) release(now fleet.Time, q *request) { k.sendEnd(now, q, FinishNotRun, nil) }

func (k *Keys) sendEnd(now fleet.Time, q *request, state FinishState, answer *Answer) {
	if q.view.Version == 0 {
		return // never sent to any member
	}
	if answer.size() > MaxAnswerBytes {
		answer = nil
	}
	e := &ending{
		end: End{
			View: q.view, Scope: q.scope, Attempt: k.attempt(q.number), Fingerprint: q.fingerprint,
			State: state, Answer: answer,
		},
		forgetAt: now.Add(k.retention),
	}
	k.endings = append(k.endings, e)
	k.byEnding[q.number] = e
	k.pushEnding(now, e)
}

// pushEnding sends the end to the members of the newest view that have not
// acknowledged it in that view.
func (k *Keys) pushEnding(now fleet.Time, e *ending) {
	e.retryAt = now.Add(k.cfg.Retry)
	if view, ok := k.cfg.Authority.View(e.end.View.Shard); ok && view != e.end.View {
		e.end.View, e.owner, e.copied, e.tries = view, false, false, 0
	}
	if e.tries++; e.tries > quietTries {
		k.cfg.Membership.Resolve(now, e.end.View.Shard)
	}
	if !e.owner {
		p := k.to(e.end.View.Owner.VM)
		p.ends = append(p.ends, e.end)
	}
	if !e.copied && !e.end.View.Copy.IsZero() {
		p := k.to(e.end.View.Copy.VM)
		p.ends = append(p.ends, e.end)
	}
}

func (k *Keys) onAck(now fleet.Time, from fleet.Member, a Ack) {
	if !a.Applied {
		k.cfg.Membership.Observe(now, a.View)
	}
	e := k.byEnding[a.Attempt.Number]
	if e == nil || a.Attempt.Caller != k.cfg.Self {
		return
	}
	if !a.Applied {
		if newest, ok := k.cfg.Authority.View(e.end.View.Shard); ok && newest != e.end.View {
			k.pushEnding(now, e)
		}
		return
	}
	if a.View != e.end.View {
		return
	}
	e.owner = e.owner || from == a.View.Owner
	e.copied = e.copied || from == a.View.Copy
	if e.owner && (e.copied || a.View.Copy.IsZero()) {
		e.forgotten = true
		delete(k.byEnding, a.Attempt.Number)
	}
}

// Abandon withdraws a reservation whose caller left before the decision. After a
// decision to run it counts as proof that the request was not run.
func (k *Keys) Abandon(now fleet.Time, id ReserveID) {
	k.now = max(k.now, now)
	if q := k.requests[id]; q != nil {
		k.withdraw(now, q)
		k.deliverOwn(now)
	}
}

// Finish ends a reservation that was decided to run.
func (k *Keys) Finish(now fleet.Time, id ReserveID, state FinishState, answer *Answer) {
	k.now = max(k.now, now)
	if q := k.requests[id]; q != nil && q.decided {
		k.sendEnd(now, q, state, answer)
		k.forget(q)
		k.deliverOwn(now)
	}
}

func (k *Keys) expireRequest(now fleet.Time, q *request) {
	code := result.KeyNoQuorum
	switch {
	case q.behind:
		code = result.KeyRunning
	case q.last == GrantWait:
		code = result.KeyHistoryLost
	}
	k.withdraw(now, q)
	k.decide(q, refuse(code))
}

func (k *Keys) tickRequests(now fleet.Time) {
	k.waiting = slices.DeleteFunc(k.waiting, func(q *request) bool { return q.decided })
	for _, q := range k.waiting {
		if now >= q.deadline {
			k.expireRequest(now, q)
		} else if now >= q.retryAt {
			k.ask(now, q)
		}
	}
}

func (k *Keys) tickEndings(now fleet.Time) {
	k.endings = slices.DeleteFunc(k.endings, func(e *ending) bool { return e.forgotten })
	for _, e := range k.endings {
		if now >= e.forgetAt {
			e.forgotten = true
			delete(k.byEnding, e.end.Attempt.Number)
		} else if now >= e.retryAt {
			k.pushEnding(now, e)
		}
	}
}
