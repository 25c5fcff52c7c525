/*
 * Ownership of one shard (pkg/shard) and one idempotency key on it (pkg/keys).
 *
 * Network: a message, once sent, may be received at any later time, any number of times, or
 * never. This covers loss, delay, duplication, reordering and one-way partitions. A process
 * may pause arbitrarily long between two steps.
 *
 * Processes 0, 1 and 2 run on VMs 0, 1 and 2; process 3 is a restart on VM 0. VM 2 is added
 * to the list later. Each process reads the list with its own delay.
 *
 * Scopes: -DKEYS has two callers (one with -DONECALLER) and processes 0 to 2. -DCLAIMS has
 * claims, a restart and no callers.
 * The first view has an owner alone, or owner and copy with -DPAIR.
 * Bounds: NV-1 views (NV is 4 or 5), MAXKILL ends of processes, MAXRESIGN resignations, NG
 * lists. Claims are not abandoned in the model; promises to a claimer are binding until it is
 * gone.
 *
 * Mutations, each of which must be rejected:
 *   MUT_SILENCE      a copy takes over without knowing that the owner is gone
 *   MUT_UNCOMMITTED  a copy of a prepared view takes over
 *   MUT_NOCOPY       a request runs without the copy's acceptance
 *   MUT_NOTOMB       a reserve that arrives after its release is accepted
 *   MUT_BOTHRESIGN   a copy that has resigned takes over from a resigning owner
 *   MUT_RESIGNBACK   a resigned owner continues alone when its copy is gone
 *   MUT_NOFREEZE     an owner accepts operations while its state is being copied
 *   MUT_OLDLIST      a restarted process may read an older list than its predecessor
 *   MUT_GENERATION   a claim ignores promises from newer lists
 *   MUT_PARTIAL      a claim needs only one promise
 */
#ifndef NV
#define NV 5
#endif
#ifndef MAXKILL
#define MAXKILL 2
#endif
#ifndef MAXRESIGN
#define MAXRESIGN 1
#endif
#define NG 3
#define NONE 7

/* phases of a member */
#define OUT 0
#define PEND 1
#define ACT 2
#define PREP 3
#define RES 4

/* record: 0: absent, 1+c: running for caller c, 3+c: ran or may have run for caller c */
#define RUNNING(c) (1 + (c))
#define ENDED(c) (3 + (c))
/* caller states */
#define ASK 0
#define RUN 1
#define END 2
#define REL 3

byte nv = 2;                       /* view 0 stands for "no view" */
byte vo[NV], vc[NV], ver[NV];
bit ann[NV], prepd[NV], rso[NV], rsc[NV];
byte srec[NV], stomb[NV];
bit slost[NV];
byte sent[NV], accO[NV], accC[NV]; /* bit c: reserve of caller c */

bit alive[4], resigning[4], saw3[4], started3, lost[4];
byte ph[4], vw[4], kn[4], hi[4], prep[4], rec[4], tomb[4], lg[4];
byte kills, resigns;

byte G;                            /* newest generation of the list */
byte L[NG], D[NG];                 /* VMs listed, VMs dropped, by generation */

byte cs[2], ran;
bit cdead[2];
byte asks;                         /* bit c: caller c has sent anything */

byte bound[4], proms[4], phi[4];   /* claims */
bit asked[4];
byte pgen[16];


#define VM(x) ((x) % 3)
#define BIT(m, i) (((m) >> (i)) & 1)
#define LISTED(a, b) BIT(L[lg[a]], VM(b))
#define GONE(a, b) (BIT(D[lg[a]], VM(b)) || ((b) == 0 && saw3[a]))
#define ROOM (nv < NV)
#define OWN(x) (vo[vw[x]] == x)
#define COPY(x) (vc[vw[x]] == x)
#define SINGLE(x) (vc[vw[x]] == NONE)
#define OWNER(x) (alive[x] && ph[x] == ACT && OWN(x))
#define RAISE(x, w) if :: ver[w] > hi[x] -> hi[x] = ver[w] :: else fi

/* The absence of a key at an owner with complete history proves "not run". */
#define ABSENT(x) (!OWNER(x) || lost[x] || rec[x] != 0 || ran == 0)
#define CHECK assert(ran <= 1 && OWNER(0) + OWNER(1) + OWNER(2) + OWNER(3) <= 1 && \
    ABSENT(0) && ABSENT(1) && ABSENT(2))

#define ALONE(x) \
    vo[nv] = x; vc[nv] = NONE; ver[nv] = hi[x] + 1; ann[nv] = 1; \
    ph[x] = ACT; vw[x] = nv; kn[x] = nv; hi[x] = ver[nv]; prep[x] = 0; nv++; CHECK

#define DROP(x) ph[x] = OUT; vw[x] = 0; prep[x] = 0; rec[x] = 0; tomb[x] = 0; lost[x] = 0

#ifdef MUT_UNCOMMITTED
#define ENDPEND(x) if :: !resigning[x] && ROOM -> ALONE(x) :: else -> DROP(x) fi
#else
#define ENDPEND(x) DROP(x)
#endif
#ifdef MUT_SILENCE
#define CONFIRMED(x) 1
#else
#define CONFIRMED(x) GONE(x, vo[vw[x]])
#endif
#ifdef MUT_RESIGNBACK
#define RESIGNBACK(x) if :: ROOM -> ALONE(x) :: else -> DROP(x) fi
#else
#define RESIGNBACK(x) DROP(x)
#endif
#ifdef MUT_BOTHRESIGN
#define ACCEPTS(x) (ph[x] == ACT || ph[x] == PEND || ph[x] == RES)
#else
#define ACCEPTS(x) (ph[x] == ACT || ph[x] == PEND)
#endif
#ifdef MUT_NOFREEZE
#define OPEN(x) (ph[x] == ACT || ph[x] == PREP)
#else
#define OPEN(x) (ph[x] == ACT)
#endif
#ifdef MUT_NOTOMB
#define BURIED(x, c) 0
#else
#define BURIED(x, c) BIT(tomb[x], c)
#endif
#ifdef MUT_NOCOPY
#define GRANTED(w, c) BIT(accO[w], c)
#else
#define GRANTED(w, c) (BIT(accO[w], c) && (vc[w] == NONE || BIT(accC[w], c)))
#endif
#ifdef MUT_OLDLIST
#define FIRSTLIST 0
#else
#define FIRSTLIST lg[0]
#endif

/* Process x learns that view w is active. */
#define LEARN(x, w) \
    :: d_step { alive[x] && ann[w] && ver[w] > ver[kn[x]] -> \
        if \
        :: ph[x] == PEND && vw[x] == w -> ph[x] = ACT \
        :: ph[x] != OUT && vw[x] != w && ver[w] > ver[vw[x]] -> DROP(x) \
        :: else \
        fi; \
        kn[x] = w; RAISE(x, w); CHECK }

/* Owner x without a copy prepares a view with copy y, and y joins the prepared view w. */
#define RECRUIT(x, y) \
    :: d_step { alive[x] && ph[x] == ACT && OWN(x) && SINGLE(x) && ROOM && LISTED(x, y) && \
        !GONE(x, y) && (y != 3 || saw3[x]) -> \
        vo[nv] = x; vc[nv] = y; ver[nv] = hi[x] + 1; hi[x] = ver[nv]; \
        srec[nv] = rec[x]; stomb[nv] = tomb[x]; slost[nv] = lost[x]; \
        ph[x] = PREP; prep[x] = nv; nv++ }
#define JOIN(x, w) \
    :: d_step { alive[x] && vc[w] == x && !prepd[w] && ver[w] > ver[kn[x]] && \
        (ph[x] == OUT || (ph[x] == PEND && ver[w] > ver[vw[x]])) && !resigning[x] && \
        LISTED(x, vo[w]) && !GONE(x, vo[w]) && \
        (bound[x] == NONE || bound[x] == vo[w] || GONE(x, bound[x])) -> \
        ph[x] = PEND; vw[x] = w; rec[x] = srec[w]; tomb[x] = stomb[w]; lost[x] = slost[w]; \
        RAISE(x, w); bound[x] = NONE; prepd[w] = 1 }

#define MEMBER(x) \
    :: d_step { alive[x] && kills < MAXKILL -> alive[x] = 0; kills++; DROP(x); kn[x] = 0; hi[x] = 0; \
        resigning[x] = 0; bound[x] = NONE } \
    :: d_step { alive[x] && lg[x] < G -> lg[x]++ } \
    :: d_step { alive[x] && !resigning[x] && resigns < MAXRESIGN -> resigning[x] = 1; resigns++ } \
    :: d_step { alive[x] && ph[x] == PREP -> ph[x] = ACT; prep[x] = 0; CHECK } \
    :: d_step { alive[x] && ph[x] == PREP && prepd[prep[x]] -> \
        vw[x] = prep[x]; kn[x] = vw[x]; prep[x] = 0; ph[x] = ACT; RAISE(x, vw[x]); ann[vw[x]] = 1; CHECK } \
    :: d_step { alive[x] && ph[x] == PEND && (GONE(x, vo[vw[x]]) || resigning[x]) -> ENDPEND(x) } \
    :: d_step { alive[x] && ph[x] == OUT && vc[kn[x]] == x && !rsc[kn[x]] && kn[x] > 0 -> rsc[kn[x]] = 1 } \
    :: d_step { alive[x] && ph[x] == ACT && OWN(x) && !SINGLE(x) && GONE(x, vc[vw[x]]) && ROOM -> ALONE(x) } \
    :: d_step { alive[x] && ph[x] == ACT && COPY(x) && !resigning[x] && CONFIRMED(x) && ROOM -> ALONE(x) } \
    :: d_step { alive[x] && resigning[x] && ph[x] == ACT && COPY(x) -> ph[x] = RES; rsc[vw[x]] = 1 } \
    :: d_step { alive[x] && resigning[x] && ph[x] == ACT && OWN(x) && !SINGLE(x) -> ph[x] = RES; rso[vw[x]] = 1 } \
    :: d_step { alive[x] && ph[x] == RES && OWN(x) && GONE(x, vc[vw[x]]) -> RESIGNBACK(x) } \
    :: d_step { alive[x] && ph[x] == RES && COPY(x) && GONE(x, vo[vw[x]]) -> DROP(x) } \
    :: d_step { alive[x] && (ph[x] == ACT || ph[x] == RES) && OWN(x) && rsc[vw[x]] && ROOM -> ALONE(x) } \
    :: d_step { alive[x] && ACCEPTS(x) && COPY(x) && rso[vw[x]] && ROOM -> ALONE(x) }

/* Member x handles caller c's attempt. */
#define SERVE(x, c) \
    :: d_step { alive[x] && ph[x] == PEND && BIT(sent[vw[x]], c) -> ph[x] = ACT; kn[x] = vw[x] } \
    :: d_step { alive[x] && OPEN(x) && BIT(sent[vw[x]], c) && !BURIED(x, c) && !lost[x] && \
        (rec[x] == 0 || rec[x] == RUNNING(c)) && \
        ((OWN(x) && !BIT(accO[vw[x]], c)) || (COPY(x) && !BIT(accC[vw[x]], c))) -> \
        rec[x] = RUNNING(c); \
        assert(!BIT(tomb[x], c)); /* no member would end this record */ \
        if \
        :: OWN(x) -> accO[vw[x]] = accO[vw[x]] | (1 << c) \
        :: else -> accC[vw[x]] = accC[vw[x]] | (1 << c) \
        fi } \
    :: d_step { alive[x] && ph[x] == ACT && cs[c] == REL && !BIT(tomb[x], c) && BIT(asks, c) -> \
        if :: rec[x] == RUNNING(c) || rec[x] == ENDED(c) -> rec[x] = 0 :: else fi; tomb[x] = tomb[x] | (1 << c); CHECK } \
    :: d_step { alive[x] && ph[x] != OUT && (cdead[c] || (cs[c] == END && ph[x] == ACT)) && rec[x] == RUNNING(c) -> \
        rec[x] = ENDED(c) }

/* The callers are symmetric, so caller 0 asks first without loss of generality. Caller c
 * asks in view w, runs, or withdraws. A withdrawal with all acceptances reports "not run",
 * so nothing may have run. */
#define CALL(c, w) \
    :: d_step { !cdead[c] && cs[c] == ASK && ann[w] && !BIT(sent[w], c) && (c == 0 || BIT(asks, 0)) -> \
        sent[w] = sent[w] | (1 << c); asks = asks | (1 << c) } \
    :: d_step { !cdead[c] && cs[c] == ASK && GRANTED(w, c) -> cs[c] = RUN; ran++; CHECK } \
    :: d_step { !cdead[c] && cs[c] == ASK && GRANTED(w, c) -> assert(ran == 0); cs[c] = REL }
#define CALLER(c) \
    :: d_step { !cdead[c] && (cs[c] == ASK || cs[c] == RUN) && BIT(asks, c) -> cdead[c] = 1 } \
    :: d_step { !cdead[c] && cs[c] == ASK && BIT(asks, c) -> cs[c] = REL } \
    :: d_step { !cdead[c] && cs[c] == RUN -> cs[c] = END }

/* Claims: x starts a claim, x promises to y, x has the promises of all VMs of its list. */
#define CLAIM(x) \
    :: d_step { alive[x] && ph[x] == OUT && !resigning[x] && !asked[x] && bound[x] == NONE -> asked[x] = 1; bound[x] = x } \
    :: d_step { alive[x] && asked[x] && bound[x] == x && ph[x] == OUT && LISTED(x, x) && ROOM && \
        ALL(x) -> \
        if :: phi[x] > hi[x] -> hi[x] = phi[x] :: else fi; \
        rec[x] = 0; tomb[x] = 0; lost[x] = 1; bound[x] = NONE; ALONE(x) }
#define PROMISE(x, y) \
    :: d_step { alive[x] && asked[y] && ph[x] == OUT && LISTED(x, y) && !GONE(x, y) && !BIT(proms[y], x) && \
        (bound[x] == NONE || bound[x] == y || GONE(x, bound[x])) -> \
        bound[x] = y; proms[y] = proms[y] | (1 << x); pgen[y * 4 + x] = lg[x]; \
        if :: hi[x] > phi[y] -> phi[y] = hi[x] :: else fi }
#ifdef MUT_GENERATION
#define HAS(x, y) BIT(proms[x], y)
#else
#define HAS(x, y) (BIT(proms[x], y) && pgen[x * 4 + y] <= lg[x])
#endif
#define NEED(x, v) (VM(x) == v || !BIT(L[lg[x]], v) || \
    (v == 0 && HAS(x, 3)) || (HAS(x, v) && !(v == 0 && (saw3[x] || BIT(proms[x], 3)))))
#ifdef MUT_PARTIAL
#define ALL(x) (proms[x] != 0)
#else
#define ALL(x) (NEED(x, 0) && NEED(x, 1) && NEED(x, 2))
#endif

#define DROPVM(x) \
    :: d_step { G + 1 < NG && !alive[x] && BIT(L[G], x) && !(x == 0 && alive[3]) -> \
        G++; L[G] = L[G - 1] & (7 - (1 << x)); D[G] = D[G - 1] | (1 << x) }

init {
    d_step {
        vo[1] = 0; vc[1] = NONE; ver[1] = 1; ann[1] = 1; vc[0] = NONE; vo[0] = NONE;
#ifdef PAIR
        vc[1] = 1; prepd[1] = 1; ph[1] = ACT; vw[1] = 1; kn[1] = 1; hi[1] = 1;
#endif
        alive[0] = 1; alive[1] = 1; alive[2] = 1;
        ph[0] = ACT; vw[0] = 1; kn[0] = 1; hi[0] = 1;
        bound[0] = NONE; bound[1] = NONE; bound[2] = NONE; bound[3] = NONE;
#ifdef CLAIMS
        L[0] = 3
#else
        L[0] = 7
#endif
    };
    do
    DROPVM(0) DROPVM(1) DROPVM(2)
    MEMBER(0) MEMBER(1) MEMBER(2)
    LEARN(0, 2) LEARN(0, 3) LEARN(1, 1) LEARN(1, 2) LEARN(1, 3) LEARN(2, 1) LEARN(2, 2) LEARN(2, 3)
    RECRUIT(0, 1) RECRUIT(0, 2) RECRUIT(1, 0) RECRUIT(1, 2) RECRUIT(2, 0) RECRUIT(2, 1)
    JOIN(0, 2) JOIN(0, 3) JOIN(1, 2) JOIN(1, 3) JOIN(2, 2) JOIN(2, 3)
#if NV > 4
    LEARN(0, 4) LEARN(1, 4) LEARN(2, 4) JOIN(0, 4) JOIN(1, 4) JOIN(2, 4)
#endif
#ifdef CLAIMS
    :: d_step { G == 0 -> G++; L[G] = 7; D[G] = 0 }
    :: d_step { !alive[0] && !started3 && BIT(L[G], 0) ->
        started3 = 1; alive[3] = 1; saw3[3] = 1; lg[3] = FIRSTLIST }
    :: d_step { alive[0] == 0 && started3 && alive[1] && !saw3[1] -> saw3[1] = 1 }
    :: d_step { alive[0] == 0 && started3 && alive[2] && !saw3[2] -> saw3[2] = 1 }
    MEMBER(3) LEARN(3, 1) LEARN(3, 2) LEARN(3, 3) JOIN(3, 2) JOIN(3, 3)
#if NV > 4
    LEARN(3, 4) JOIN(3, 4)
#endif
    RECRUIT(1, 3) RECRUIT(2, 3) RECRUIT(3, 1) RECRUIT(3, 2)
    CLAIM(0) CLAIM(1) CLAIM(2) CLAIM(3)
    PROMISE(0, 1) PROMISE(0, 2) PROMISE(1, 0) PROMISE(1, 2) PROMISE(1, 3)
    PROMISE(2, 0) PROMISE(2, 1) PROMISE(2, 3) PROMISE(3, 1) PROMISE(3, 2)
#endif
#ifdef KEYS
    SERVE(0, 0) SERVE(1, 0) SERVE(2, 0) CALLER(0)
    CALL(0, 1) CALL(0, 2) CALL(0, 3)
#if NV > 4
    CALL(0, 4)
#endif
#ifndef ONECALLER
    SERVE(0, 1) SERVE(1, 1) SERVE(2, 1) CALLER(1)
    CALL(1, 1) CALL(1, 2) CALL(1, 3)
#if NV > 4
    CALL(1, 4)
#endif
#endif
#endif
    :: timeout -> break
    od
}
