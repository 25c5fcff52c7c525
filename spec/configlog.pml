/*
 * The configuration log (pkg/configlog: state.go, reader.go, publish.go, snapshot.go,
 * transfer.go, node.go).
 *
 * Edits 1 and 2 change section A concurrently. Edit 3 changes section B and is valid only
 * while A has the content of edit 1. Each edit is prepared against any state that a reader
 * had before the edit's first append. An edit replaces the content of its section, so its
 * result hash never causes a refusal. A state holds the content of A, the accepted edits
 * (which determine the revisions) and the refused edits.
 *
 * Log service: an append takes effect at any time after its record was created, and that of
 * an edit up to MAXCOPY times. This covers late and duplicate appends, lost responses and
 * the end of the publishing VM. The oldest record may expire at any time; expiry waits for
 * nothing. A read may be delayed arbitrarily, which covers outages of the service.
 *
 * Readers: NR processes that start with the empty state. They apply retained records in
 * order or get them from a reader that is further ahead (relays), install complete
 * snapshots, and install states from peers: any state that any reader ever had, since an
 * offer may be outdated when it arrives. All of this may happen at any time, which includes
 * the fewer times at which the code does it. A reader whose next record has expired and that
 * finds no usable snapshot can only install a peer's state or apply relayed records.
 * RESTARTS readers restart with the empty state. Two snapshots are written, each of any
 * state that a reader had at any time before the append (two writers, of which either may
 * be paused).
 *
 * "Any state that a reader had" is represented by the largest number of records that a
 * reader ever applied: MOVE checks that all readers agree on the state at an offset.
 *
 * Properties: all readers have the same state after the same offset, so they reach the same
 * verdict on each record, and a snapshot or a peer's state matches exactly the records that
 * it covers. Within a process the offset never decreases and accepted edits are kept. An
 * accepted edit was prepared against the content that it replaces, so no accepted edit is
 * overwritten unseen. An edit that the log refused once is never accepted later, since its
 * author may have been told of the refusal.
 *
 * Bounds: NL records in the log, NR readers, MAXCOPY, RESTARTS.
 *
 * Mutations, each of which must be rejected:
 *   MUT_BASE      an edit is accepted regardless of its base revision
 *   MUT_COVERS    a snapshot names the highest applied offset at its append instead of the
 *                 offset of its state
 *   MUT_OLDSNAP   a reader installs a snapshot that covers less than it has applied
 *   MUT_GAP       a reader without a usable snapshot continues at the oldest retained record
 *   MUT_PEERBACK  a reader installs an older state of a peer
 *   MUT_HISTORY   snapshots omit the refused edits
 *   MUT_FORGET    refusals are not recorded
 *   MUT_PRECHECK  a refusal based on one VM's state, without the log, is final for the author
 */
#ifndef NL
#define NL 6
#endif
#ifndef NR
#define NR 2
#endif
#ifndef MAXCOPY
#define MAXCOPY 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NE 3
#define SNAP 4                      /* snapshot k is record SNAP + k */

/* State: content of A in bits 0 and 1, accepted edits in bits 2 to 4, refused edits in bits 5 to 7. */
#define CONTENT(s) ((s) & 3)
#define ACCEPTED(s) (((s) >> 2) & 7)
#define HASACC(s, e) (((s) >> (1 + (e))) & 1)
#define HASREF(s, e) (((s) >> (4 + (e))) & 1)
#define ADDACC(s, e) ((s) | (1 << (1 + (e))))
#define ADDREF(s, e) ((s) | (1 << (4 + (e))))
#define REV(s, e) ((e) == 3 -> HASACC(s, 3) : HASACC(s, 1) + HASACC(s, 2))
#define REFUSALS 224

byte log[NL], tail, base;
byte can[NL + 1];                   /* state after that number of records */
byte copies[SNAP + 2];              /* number of appends of each record */
byte next[NR], st[NR];
byte far;                           /* largest number of records that a reader ever applied */
byte ebase[NE + 1], eseen[NE + 1];  /* revision and content that an edit was prepared against */
byte covered[2], sstate[2];         /* snapshots: number of records included, and state */
byte restarts, refusedonce;
#ifdef MUT_PRECHECK
byte toldno;
#endif

#ifdef MUT_BASE
#define BASEOK(s, e) 1
#else
#define BASEOK(s, e) (ebase[e] == REV(s, e))
#endif
#ifdef MUT_FORGET
#define REMEMBER(s, e) (s)
#else
#define REMEMBER(s, e) ADDREF(s, e)
#endif
#ifdef MUT_HISTORY
#define SAVED(s) ((s) & (255 - REFUSALS))
#else
#define SAVED(s) (s)
#endif
#ifdef MUT_COVERS
#define COVERS(n) far
#else
#define COVERS(n) n
#endif
#ifdef MUT_OLDSNAP
#define SNAPNEW(r, k) 1
#else
#define SNAPNEW(r, k) (covered[k] > next[r])
#endif
#ifdef MUT_PEERBACK
#define OFFERNEW(r, n) (n != next[r])
#else
#define OFFERNEW(r, n) (n > next[r])
#endif

#define VALID(s, e) ((e) != 3 || CONTENT(s) == 1)
#define TAKES(s, e) (!HASACC(s, e) && !HASREF(s, e) && BASEOK(s, e) && VALID(s, e))
/* The state after record x. */
#define AFTER(s, x) \
    (((x) > NE || HASACC(s, x) || HASREF(s, x)) -> (s) : \
    (TAKES(s, x) -> ((x) == 3 -> ADDACC(s, 3) : ADDACC(((s) & 252) | (x), x)) : REMEMBER(s, x)))

/* Reader r moves to state s after n records. */
#define MOVE(r, n, s) \
    assert((n) > next[r] && (ACCEPTED(st[r]) & ACCEPTED(s)) == ACCEPTED(st[r]) && (s) == can[n]); \
    st[r] = s; next[r] = n; far = (far > next[r] -> far : next[r])

#define APPEND(x) log[tail] = x; copies[x]++; can[tail + 1] = AFTER(can[tail], x); tail++

#ifdef MUT_PRECHECK
#define NOTTOLD(e) !((toldno >> (e)) & 1)
#define PRECHECK(r, e) \
    :: d_step { copies[e] > 0 && !HASACC(st[r], e) && !HASREF(st[r], e) && !TAKES(st[r], e) && !((toldno >> (e)) & 1) -> \
        toldno = toldno | (1 << (e)); assert(!HASACC(can[tail], e)) }
#else
#define NOTTOLD(e) 1
#define PRECHECK(r, e)
#endif

#define EDIT(e) \
    :: d_step { copies[e] > 0 && copies[e] < MAXCOPY && tail < NL -> ADDEDIT(e) }
#define ADDEDIT(e) \
    if \
    :: TAKES(can[tail], e) -> \
        assert(!((refusedonce >> (e)) & 1) && NOTTOLD(e)); \
        assert((e) == 3 || eseen[e] == CONTENT(can[tail])) \
    :: else -> \
        if :: HASACC(can[tail], e) -> skip :: else -> refusedonce = refusedonce | (1 << (e)) fi \
    fi; \
    APPEND(e)
/* The first append of edit e, prepared against the state after n records. States with the
 * same revision are skipped because they yield the same edit. */
#define FIRST(e, n) \
    :: d_step { copies[e] == 0 && tail < NL && n <= far && (n == 0 || REV(can[n], e) != REV(can[n - 1], e)) -> \
        ebase[e] = REV(can[n], e); eseen[e] = ((e) == 3 -> 0 : CONTENT(can[n])); ADDEDIT(e) }
/* Appends snapshot k of the state after n records. */
#define WRITE(k, n) \
    :: d_step { copies[SNAP + k] == 0 && (k == 0 || copies[SNAP] > 0) && tail < NL && n <= far -> \
        covered[k] = COVERS(n); sstate[k] = SAVED(can[n]); APPEND(SNAP + k) }

#ifdef MUT_GAP
#define GAP(r) \
    :: d_step { next[r] < base && !(copies[SNAP] > 0 && covered[0] >= base) && \
        !(copies[SNAP + 1] > 0 && covered[1] >= base) -> MOVE(r, base, st[r]) }
#else
#define GAP(r)
#endif

/* covered counts records, so the code's condition covers >= base - 1 is covered >= base here. */
#define TAKESNAP(r, k) \
    :: d_step { copies[SNAP + k] > 0 && covered[k] >= base && SNAPNEW(r, k) -> MOVE(r, covered[k], sstate[k]) }

#define PEER(r, n) \
    :: d_step { n <= far && OFFERNEW(r, n) -> MOVE(r, n, can[n]) }

#define READER(r) \
    :: d_step { next[r] < tail && (next[r] >= base || far > next[r]) -> \
        MOVE(r, next[r] + 1, AFTER(st[r], log[next[r]])) } \
    TAKESNAP(r, 0) TAKESNAP(r, 1) GAP(r) \
    PEER(r, 1) PEER(r, 2) PEER(r, 3) PEER(r, 4) PEER5(r) PEER6(r) \
    :: d_step { next[r] > 0 && restarts < RESTARTS -> restarts++; next[r] = 0; st[r] = 0 } \
    PRECHECK(r, 1) PRECHECK(r, 2) PRECHECK(r, 3)
#if NL > 4
#define PEER5(r) PEER(r, 5)
#define WRITE5(k) WRITE(k, 5)
#define FIRST5(e) FIRST(e, 5)
#else
#define PEER5(r)
#define WRITE5(k)
#define FIRST5(e)
#endif
#if NL > 5
#define PEER6(r) PEER(r, 6)
#define WRITE6(k) WRITE(k, 6)
#define FIRST6(e) FIRST(e, 6)
#else
#define PEER6(r)
#define WRITE6(k)
#define FIRST6(e)
#endif
#define FIRSTS(e) FIRST(e, 0) FIRST(e, 1) FIRST(e, 2) FIRST(e, 3) FIRST(e, 4) FIRST5(e) FIRST6(e)
#define WRITES(k) WRITE(k, 1) WRITE(k, 2) WRITE(k, 3) WRITE(k, 4) WRITE5(k) WRITE6(k)

init {
    do
    :: d_step { base < tail -> base++ }
    FIRSTS(1) FIRSTS(2) FIRSTS(3)
    EDIT(1) EDIT(2) EDIT(3)
    WRITES(0) WRITES(1)
    READER(0)
#if NR > 1
    READER(1)
#endif
    :: timeout -> break
    od
}
