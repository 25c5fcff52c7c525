package keys

import (
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// maxUnansweredSends is the number of sends without a result after which other VMs are
// queried for a newer view, because all members of the known view may be gone.
const maxUnansweredSends = 2

// request is a reservation of this VM, from Reserve to Finish.
type request struct {
	id          ReservationID
	shard       shard.ID
	scope       Scope
	fingerprint uint64
	deadline    fleet.Time
	number      uint64 // of the current attempt
	decided     bool   // has a final verdict or was withdrawn

	view          shard.View // view that ownerAccepted and copyAccepted refer to
	ownerAccepted bool
	copyAccepted  bool
	copyAsked     bool // the copy may hold a record of the current attempt
	ownerBusy     bool // another attempt holds the key at the owner; no Reserve is sent to the copy meanwhile
	retryAt       fleet.Time
	sentAt        fleet.Time
	lastGrant     GrantState // last reply other than an acceptance
	sends         int        // sends since the view last changed
}

// pendingEnd is an end that the members have not all acknowledged.
type pendingEnd struct {
	end        End
	ownerAcked bool
	copyAcked  bool
	retryAt    fleet.Time
	expiresAt  fleet.Time
	done       bool
	sends      int // sends since the view last changed
}

// Reserve requests permission to run a request once. The home region of workspace holds
// the key; workspace is empty if the document does not define it. Decisions returns the
// outcome, at the latest after the first Tick that follows deadline.
func (k *Keys) Reserve(now fleet.Time, id ReservationID, workspace string, scope Scope, fingerprint uint64, deadline fleet.Time) {
	k.now = max(k.now, now)
	q := &request{id: id, scope: scope, fingerprint: fingerprint, deadline: deadline}
	if scope.Key == "" || len(scope.Key) > maxKeyBytes || scope.size() > maxScopeBytes {
		k.decide(q, refusal(result.KeyInvalid))
		return
	}
	var ok bool
	if q.shard, ok = k.shardOf(workspace, scope); !ok {
		k.decide(q, refusal(result.NotReady))
		return
	}
	k.requests[id] = q
	k.undecided = append(k.undecided, q)
	k.newAttempt(q)
	k.sendReserve(now, q)
	k.deliverLocal(now)
}

func (k *Keys) newAttempt(q *request) {
	delete(k.requestsByAttempt, q.number)
	k.lastAttempt++
	q.number = k.lastAttempt
	k.requestsByAttempt[q.number] = q
	q.ownerAccepted, q.copyAccepted, q.copyAsked = false, false, false
}

func (k *Keys) attempt(number uint64) Attempt { return Attempt{k.cfg.Self, number} }

// sendReserve sends the reservation to the members of the newest view that have not
// accepted it in that view.
func (k *Keys) sendReserve(now fleet.Time, q *request) {
	q.retryAt = now.Add(k.cfg.RetryInterval)
	view, ok := k.cfg.Authority.View(q.shard)
	if !ok {
		k.cfg.Membership.Resolve(now, q.shard)
		return
	}
	if view != q.view {
		q.view, q.ownerAccepted, q.copyAccepted, q.sends = view, false, false, 0
	}
	if q.sends++; q.sends > maxUnansweredSends {
		k.cfg.Membership.Resolve(now, q.shard)
	}
	q.sentAt = now
	reserve := Reserve{View: view, Scope: q.scope, Attempt: k.attempt(q.number), Fingerprint: q.fingerprint}
	if !q.ownerAccepted {
		p := k.queueFor(view.Owner.VM)
		p.reserves = append(p.reserves, reserve)
	}
	if !q.copyAccepted && !view.Copy.IsZero() && !q.ownerBusy {
		q.copyAsked = true
		p := k.queueFor(view.Copy.VM)
		p.reserves = append(p.reserves, reserve)
	}
}

func (k *Keys) onGrant(now fleet.Time, from fleet.Member, g Grant) {
	if g.State == GrantStale {
		k.cfg.Membership.Observe(now, g.View)
	}
	q := k.requestsByAttempt[g.Attempt.Number]
	if q == nil || g.Attempt.Caller != k.cfg.Self || q.decided {
		return
	}
	if now >= q.deadline {
		k.expireRequest(now, q)
		return
	}
	if g.State == GrantStale {
		if newest, ok := k.cfg.Authority.View(q.shard); ok && newest != q.view {
			k.sendReserve(now, q)
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
			k.decide(q, refusal(result.KeyAnswerDropped))
			return
		}
		k.decide(q, Decision{Verdict: VerdictReplay, Code: result.OK, Answer: g.Answer})
	case GrantUnknown:
		k.withdraw(now, q)
		k.decide(q, refusal(result.KeyUnknown))
	case GrantMismatch:
		k.withdraw(now, q)
		k.decide(q, refusal(result.KeyMismatch))
	default:
		k.onNotAccepted(now, q, g.State, isOwner)
	}
}

func (k *Keys) onAccepted(now fleet.Time, q *request, isOwner bool) {
	if isOwner {
		q.ownerAccepted = true
		if q.ownerBusy {
			q.ownerBusy = false
			k.sendReserve(now, q)
		}
	} else {
		q.copyAccepted = true
	}
	if !q.ownerAccepted || !q.copyAccepted && !q.view.Copy.IsZero() {
		return
	}
	by := q.sentAt.Add(DispatchLimit)
	if now >= by {
		// The members admitted only this attempt, and it is withdrawn, so the key did not run.
		k.withdraw(now, q)
		k.decide(q, refusal(result.DispatchTooLate))
		return
	}
	q.decided = true
	k.decide(q, Decision{Verdict: VerdictRun, Code: result.OK, DispatchBy: by})
}

// onNotAccepted handles replies after which the request waits, and refusals that depend
// on the owner's state.
func (k *Keys) onNotAccepted(now fleet.Time, q *request, state GrantState, isOwner bool) {
	switch {
	case state == GrantFull && (isOwner || q.ownerAccepted):
		k.withdraw(now, q)
		k.decide(q, refusal(result.KeyTableFull))
	case state == GrantHistoryLost:
		k.withdraw(now, q)
		k.decide(q, refusal(result.KeyHistoryLost))
	case state == GrantRunning && isOwner && !q.ownerBusy:
		// The copy's record of this attempt would block the attempt that the owner has
		// admitted. A later try needs a new number, because this one is released.
		if q.copyAsked {
			k.release(now, q)
			k.newAttempt(q)
		}
		q.ownerBusy = true
	}
	q.lastGrant = state
}

// withdraw removes the request and releases its attempt at the members.
func (k *Keys) withdraw(now fleet.Time, q *request) {
	k.release(now, q)
	k.removeRequest(q)
}

func (k *Keys) removeRequest(q *request) {
	q.decided = true
	delete(k.requests, q.id)
	delete(k.requestsByAttempt, q.number)
}

func (k *Keys) release(now fleet.Time, q *request) { k.addPendingEnd(now, q, FinishNotRun, nil) }

func (k *Keys) addPendingEnd(now fleet.Time, q *request, state FinishResult, answer *Answer) {
	if q.view.Version == 0 {
		return // the attempt was never sent
	}
	if answer.size() > MaxAnswerBytes {
		answer = nil
	}
	e := &pendingEnd{
		end: End{
			View: q.view, Scope: q.scope, Attempt: k.attempt(q.number), Fingerprint: q.fingerprint,
			State: state, Answer: answer,
		},
		expiresAt: now.Add(k.retention),
	}
	k.pendingEnds = append(k.pendingEnds, e)
	k.endsByAttempt[q.number] = e
	k.sendPendingEnd(now, e)
}

// sendPendingEnd sends the end to the members of the newest view that have not
// acknowledged it in that view.
func (k *Keys) sendPendingEnd(now fleet.Time, e *pendingEnd) {
	e.retryAt = now.Add(k.cfg.RetryInterval)
	if view, ok := k.cfg.Authority.View(e.end.View.Shard); ok && view != e.end.View {
		e.end.View, e.ownerAcked, e.copyAcked, e.sends = view, false, false, 0
	}
	if e.sends++; e.sends > maxUnansweredSends {
		k.cfg.Membership.Resolve(now, e.end.View.Shard)
	}
	if !e.ownerAcked {
		p := k.queueFor(e.end.View.Owner.VM)
		p.ends = append(p.ends, e.end)
	}
	if !e.copyAcked && !e.end.View.Copy.IsZero() {
		p := k.queueFor(e.end.View.Copy.VM)
		p.ends = append(p.ends, e.end)
	}
}

func (k *Keys) onAck(now fleet.Time, from fleet.Member, a Ack) {
	if !a.Applied {
		k.cfg.Membership.Observe(now, a.View)
	}
	e := k.endsByAttempt[a.Attempt.Number]
	if e == nil || a.Attempt.Caller != k.cfg.Self {
		return
	}
	if !a.Applied {
		if newest, ok := k.cfg.Authority.View(e.end.View.Shard); ok && newest != e.end.View {
			k.sendPendingEnd(now, e)
		}
		return
	}
	if a.View != e.end.View {
		return
	}
	e.ownerAcked = e.ownerAcked || from == a.View.Owner
	e.copyAcked = e.copyAcked || from == a.View.Copy
	if e.ownerAcked && (e.copyAcked || a.View.Copy.IsZero()) {
		e.done = true
		delete(k.endsByAttempt, a.Attempt.Number)
	}
}

// Abandon withdraws a reservation whose caller left before the decision. After a
// decision to run, it declares that the request was not run.
func (k *Keys) Abandon(now fleet.Time, id ReservationID) {
	k.now = max(k.now, now)
	if q := k.requests[id]; q != nil {
		k.withdraw(now, q)
		k.deliverLocal(now)
	}
}

// Finish reports the result of a request whose verdict was VerdictRun. An answer above
// MaxAnswerBytes is not stored.
func (k *Keys) Finish(now fleet.Time, id ReservationID, state FinishResult, answer *Answer) {
	k.now = max(k.now, now)
	if q := k.requests[id]; q != nil && q.decided {
		k.addPendingEnd(now, q, state, answer)
		k.removeRequest(q)
		k.deliverLocal(now)
	}
}

func (k *Keys) expireRequest(now fleet.Time, q *request) {
	code := result.KeyNoQuorum
	switch {
	case q.ownerBusy:
		code = result.KeyRunning
	case q.lastGrant == GrantHistoryUnknown:
		code = result.KeyHistoryLost
	}
	k.withdraw(now, q)
	k.decide(q, refusal(code))
}

func (k *Keys) tickRequests(now fleet.Time) {
	k.undecided = slices.DeleteFunc(k.undecided, func(q *request) bool { return q.decided })
	for _, q := range k.undecided {
		if now >= q.deadline {
			k.expireRequest(now, q)
		} else if now >= q.retryAt {
			k.sendReserve(now, q)
		}
	}
}

func (k *Keys) tickPendingEnds(now fleet.Time) {
	k.pendingEnds = slices.DeleteFunc(k.pendingEnds, func(e *pendingEnd) bool { return e.done })
	for _, e := range k.pendingEnds {
		if now >= e.expiresAt {
			e.done = true
			delete(k.endsByAttempt, e.end.Attempt.Number)
		} else if now >= e.retryAt {
			k.sendPendingEnd(now, e)
		}
	}
}
