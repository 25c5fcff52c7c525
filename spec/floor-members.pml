/*
 * The ejection floor of one pool (pkg/pool: eject.go, replica.go, readmit.go) across the
 * members of its shard (pkg/shard): an owner, a copy, and a recruited copy. floor.pml
 * models the same rules with fewer steps between members, but with three servers and two
 * clients at once. Here a recruitment takes several steps, members end one at a time, an
 * ejection may be proposed again before its budget is free, and clocks differ.
 *
 * Network: a message may arrive late or never, and a state for clients also repeatedly. Of
 * the messages of one kind from one sender only the newest is kept, since receivers drop
 * older ones by sequence number. A process may pause arbitrarily long between two steps.
 * The end of a member represents a crash, a replacement or a resignation: in each case it
 * sends clients nothing more. That a member is replaced only after its end (section 4 of
 * the design) is checked in keys.pml and assumed here.
 *
 * Time: ticks. A client's lease lasts L ticks. An owner reserves the budget of an ended
 * ejection for H ticks, and waits H ticks after a claim. The owners' clocks may run up to
 * one tick ahead of the clients' clocks. The ages in messages between members do not
 * advance in transit, as in coord.importState.
 *
 * Clients: told[s] is the remaining time of the longest lease that any client may have for
 * server s, if each client syncs continuously and all responses arrive. A lost or late
 * message only shortens a lease, so this covers any number of clients. With -DCLIENTS the
 * model has two clients with their own syncs, late and repeated states, and leases.
 *
 * An ejection may end at any time: through a readmission, through a leaving server that
 * brings the pool below its floor, or because the server is no longer listed. Evidence is
 * not modelled: any server may be proposed at any time.
 *
 * Property: at most BUDGET servers are withheld, counting those that any client may regard
 * as ejected and those for which a copy lends no slots.
 *
 * Bounds: NS servers, BUDGET, L, H, MAXKILL ends of members.
 *
 * Mutations, each of which must be rejected:
 *   MUT_FREE      the budget of an ended ejection is free at once
 *   MUT_MARGIN    an owner's times are only as long as a client's lease (run with H equal to L)
 *   MUT_SILENCE   a copy ejects while its owner is silent but not gone
 *   MUT_NOWAIT    an owner with lost history ejects without waiting for one lease
 *   MUT_WAITLOST  the remaining time of that wait is not passed to the copy
 *   MUT_EARLY     clients are told of an ejection before the copy has accepted it
 *   MUT_STALEACK  the copy's acceptance of an earlier proposal counts for a new one
 *   MUT_ENDED     ended ejections are not passed to the copy
 *   MUT_FREEZE    an owner ejects while its state is in transit to a new copy
 *   MUT_RECEIPT   a client's lease starts at the receipt of the state
 */
#ifndef NS
#define NS 2
#endif
#ifndef BUDGET
#define BUDGET 1
#endif
#ifndef L
#define L 2
#endif
#ifndef H
#define H 3
#endif
#ifndef MAXKILL
#define MAXKILL 3
#endif

/* State v of an ejection: absent, proposed, in effect, or ended with its budget reserved for v - OUT more ticks. */
#define NONE 0
#define PROP 1
#define OUT 2
#ifdef MUT_FREE
#define ENDED NONE
#else
#define ENDED (OUT + H)
#endif
#define AGED(v) (((v) == OUT + 1) -> NONE : (((v) > OUT) -> (v) - 1 : (v)))
#define DOWN(t) (((t) > 0) -> (t) - 1 : 0)
#define BIT(m, i) (((m) >> (i)) & 1)
#define CLEAR(m, i) m = (m) & (7 - (1 << (i)))

byte O[NS], C[NS], X[NS], R[NS];   /* ejections at owner, copy, recruited copy, and in a Replicate in transit */
byte ow, cw, xw, rw;               /* ticks until owner, copy, recruited copy may eject; the same in Replicate */
bit oalive, hascopy, calive;
byte prep;                         /* 0: none, 1: state in transit, 2: imported; the owner is frozen unless 0 */
bit rsent;
byte rmask, amask;                 /* proposals in Replicate and in its acceptance */
byte kills;
bit ahead;                         /* the owners' clocks are one tick ahead of the clients' */
#ifdef CLIENTS
byte sync[2];                      /* lease granted by a response to the client's newest sync */
byte mset[2], mleft[2];            /* newest state in transit to the client */
byte cset[2], cleft[2];            /* ejections that the client obeys, and the remaining lease */
#else
byte told[NS];
#endif

#ifdef MUT_FREEZE
#define ACTING (oalive)
#else
#define ACTING (oalive && prep == 0)
#endif
#ifdef MUT_NOWAIT
#define LOSTWAIT 0
#else
#define LOSTWAIT H
#endif
#ifdef MUT_WAITLOST
#define HANDED 0
#else
#define HANDED ow
#endif
#ifdef MUT_STALEACK
#define NEWPROPOSAL(s) skip
#else
#define NEWPROPOSAL(s) CLEAR(rmask, s); CLEAR(amask, s)
#endif
#ifdef MUT_ENDED
#define SENT(v) (((v) > OUT) -> NONE : (v))
#else
#define SENT(v) (v)
#endif
#ifdef MUT_EARLY
#define UNCONFIRMED 0
#else
#define UNCONFIRMED hascopy
#endif
#ifdef MUT_RECEIPT
#define LEASE(c) (mleft[c] > 0 -> L : 0)
#else
#define LEASE(c) mleft[c]
#endif

#if NS > 2
#define SUM(f) (f(0) + f(1) + f(2))
#define EACH(f) f(0); f(1); f(2)
#else
#define SUM(f) (f(0) + f(1))
#define EACH(f) f(0); f(1)
#endif

#define TAKEN(s) (O[s] != NONE)
#define CTAKEN(s) (C[s] != NONE)
#ifdef CLIENTS
#define HELD(s) ((cleft[0] > 0 && BIT(cset[0], s)) || (cleft[1] > 0 && BIT(cset[1], s)) || C[s] == OUT)
#define TELL(s) skip
#else
#define HELD(s) (told[s] > 0 || C[s] == OUT)
#define TELL(s) told[s] = ((ACTING && O[s] == OUT) -> L : told[s])
#endif
#define CHECK assert(SUM(HELD) <= BUDGET)
#define OUTBIT(s) ((O[s] == OUT) << (s))
#define PROPBIT(s) ((O[s] == PROP) << (s))
#define FORGET rsent = 0; rmask = 0; amask = 0; rw = 0; R[0] = 0; R[1] = 0; R[NS - 1] = 0
#define ENDPREP prep = 0; xw = 0; X[0] = 0; X[1] = 0; X[NS - 1] = 0

#define COPY_OX(s) X[s] = SENT(O[s])
#define COPY_XC(s) C[s] = X[s]
#define COPY_OR(s) R[s] = SENT(O[s])
#define COPY_RC(s) C[s] = R[s]
#define COPY_CO(s) O[s] = C[s]
#define ZERO_O(s) O[s] = NONE
#define ZERO_C(s) C[s] = NONE

/* An acceptance counts only for proposals that the owner still has. A new proposal of the
 * same server has a higher number, so it clears the bits of the earlier one. */
#define SERVER(s) \
    :: d_step { ACTING && ow == 0 && (O[s] == NONE || O[s] > OUT) && SUM(TAKEN) + (O[s] == NONE) <= BUDGET -> \
        O[s] = PROP; NEWPROPOSAL(s); \
        if :: !UNCONFIRMED -> O[s] = OUT; TELL(s) :: else fi; CHECK } \
    :: d_step { ACTING && O[s] == PROP && (!hascopy || BIT(amask, s)) -> O[s] = OUT; TELL(s); CHECK } \
    :: d_step { oalive && (O[s] == PROP || O[s] == OUT) -> O[s] = ENDED }

#ifdef MUT_SILENCE
#define SILENT(s) \
    :: d_step { hascopy && calive && C[s] == NONE && SUM(CTAKEN) < BUDGET -> C[s] = OUT; CHECK }
#else
#define SILENT(s)
#endif

#define AGE_O(s) O[s] = AGED(O[s])
#define AGE_C(s) C[s] = AGED(C[s])
#define AGE_X(s) X[s] = (prep == 2 -> AGED(X[s]) : X[s])
#define OWNERTICK EACH(AGE_O); EACH(AGE_C); EACH(AGE_X); ow = DOWN(ow); cw = DOWN(cw); \
    xw = (prep == 2 -> DOWN(xw) : xw)
#ifdef CLIENTS
#define AGE_CLIENT(c) sync[c] = DOWN(sync[c]); mleft[c] = DOWN(mleft[c]); cleft[c] = DOWN(cleft[c]); \
    mset[c] = (mleft[c] > 0 -> mset[c] : 0); cset[c] = (cleft[c] > 0 -> cset[c] : 0)
#define CLIENTTICK AGE_CLIENT(0); AGE_CLIENT(1)
#define CLIENT(c) \
    :: d_step { sync[c] < L -> sync[c] = L } \
    :: d_step { ACTING && sync[c] > 0 -> mset[c] = SUM(OUTBIT); mleft[c] = sync[c] } \
    :: d_step { mleft[c] > 0 -> cset[c] = mset[c]; cleft[c] = LEASE(c); CHECK }
#else
#define AGE_TOLD(s) told[s] = ((ACTING && O[s] == OUT) -> L : DOWN(told[s]))
#define CLIENTTICK EACH(AGE_TOLD)
#define CLIENT(c)
#endif

init {
    oalive = 1; hascopy = 1; calive = 1;
    do
    SERVER(0) SERVER(1) SILENT(0) SILENT(1)
#if NS > 2
    SERVER(2) SILENT(2)
#endif
    CLIENT(0) CLIENT(1)

    /* Time passes. */
    :: d_step { OWNERTICK; CLIENTTICK }
    :: d_step { !ahead -> ahead = 1; OWNERTICK }
    :: d_step { ahead -> ahead = 0; CLIENTTICK }

    /* The owner replicates its set, and the copy accepts it. */
    :: d_step { ACTING && hascopy -> EACH(COPY_OR); rw = HANDED; rmask = SUM(PROPBIT); rsent = 1 }
    :: d_step { rsent && hascopy && calive -> EACH(COPY_RC); cw = rw; amask = rmask; rsent = 0; rmask = 0; rw = 0;
        R[0] = 0; R[1] = 0; R[NS - 1] = 0; CHECK }

    /* An owner without a copy recruits one; it may give up before the response. */
    :: d_step { ACTING && prep == 0 && !hascopy -> EACH(COPY_OX); xw = HANDED; prep = 1 }
    :: d_step { prep == 1 -> prep = 2 }
    :: d_step { prep == 2 -> EACH(COPY_XC); cw = xw; hascopy = 1; calive = 1; ENDPREP; EACH(TELL); CHECK }
    :: d_step { prep != 0 -> ENDPREP; EACH(TELL); CHECK }

    /* Members end and are replaced. */
    :: d_step { oalive && kills < MAXKILL -> kills++; oalive = 0; ow = 0; EACH(ZERO_O); ENDPREP }
    :: d_step { hascopy && calive && kills < MAXKILL -> kills++; calive = 0; cw = 0; EACH(ZERO_C) }
    :: d_step { oalive && hascopy && !calive -> hascopy = 0; FORGET }
    :: d_step { !oalive && hascopy && calive ->
        EACH(COPY_CO); ow = cw; cw = 0; EACH(ZERO_C); oalive = 1; hascopy = 0; FORGET; EACH(TELL); CHECK }
    :: d_step { !oalive && !(hascopy && calive) -> oalive = 1; hascopy = 0; FORGET; ow = LOSTWAIT }
    od
}
