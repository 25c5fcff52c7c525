/*
 * The ejection floor (docs/design.md, section 6.3): the union of the ejections that all
 * clients obey never withholds more servers than the floor permits.
 *
 * Owner and copy store the ejected set; an ejection takes effect once the copy, if there is
 * one, has accepted it. A client obeys a state for a lease that starts when it sent the
 * sync to which the state responds. Time advances in ticks that decrement all counters.
 * Messages may be delayed and lost arbitrarily.
 *
 * spin -a floor.pml && cc -O2 -DSAFETY -DCOLLAPSE -o pan pan.c && ./pan -m100000
 * must report no error; the search is 33,000 steps deep.
 *
 * Mutations that must fail (spin -D... -a):
 *   FREE_EARLY   an ended ejection frees its budget without waiting for the lease
 *   COPY_EJECTS  the copy ejects while the owner is silent
 *   NO_WAIT      an owner with lost history ejects without waiting for the lease
 *   NO_ACCEPT    the owner ejects before the copy has accepted
 *   LOSE_WAIT    a copy recruited during that wait does not inherit it
 */
#define SERVERS 3
#define BUDGET  1	/* servers minus floor */
#define CLIENTS 2
#define LEASE   2	/* ticks */
#define ALL     7

#ifdef FREE_EARLY
#define HOLD 0
#else
#define HOLD LEASE
#endif
#ifdef NO_WAIT
#define CLAIM_WAIT 0
#else
#define CLAIM_WAIT LEASE
#endif

#ifdef LOSE_WAIT
#define COPY_WAIT 0
#else
#define COPY_WAIT wait
#endif

#define bits(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))

byte out, prop;		/* at the owner: in effect, proposed */
byte hold[SERVERS];	/* ticks until an ended ejection frees its budget */
byte wait;		/* ticks until the owner may eject */
bool paused;		/* the owner is silent but not gone */
bool copy = true;	/* the view has a copy */
byte cout;		/* at the copy: all ejections that may be in effect */
byte chold[SERVERS];
byte cwait;		/* remaining ticks of the owner's wait */
byte takeovers;

bool rep; byte rset, rprop; byte rhold[SERVERS];	/* Replicate in transit */
bool ack; byte aset;					/* its acceptance in transit */

byte view[CLIENTS], lease[CLIENTS];	/* ejections that a client obeys, and the remaining lease */
byte sync[CLIENTS];			/* sync in transit: remaining ticks of its lease */
byte mset[CLIENTS], mttl[CLIENTS];	/* state in transit, and the remaining ticks of its lease */

byte i, s, c;

inline held(m)
{
	m = out | prop;
	i = 0;
	do
	:: i < SERVERS -> if :: hold[i] > 0 -> m = m | (1 << i) :: else fi; i++
	:: else -> break
	od
}

inline pick_server() { if :: s = 0 :: s = 1 :: s = 2 fi }
inline pick_client() { if :: c = 0 :: c = 1 fi }

inline lower(x) { if :: x > 0 -> x-- :: else fi }

inline tick()
{
	i = 0;
	do
	:: i < SERVERS -> lower(hold[i]); lower(chold[i]); i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < CLIENTS ->
		lower(lease[i]); lower(sync[i]); lower(mttl[i]);
		if :: lease[i] == 0 -> view[i] = 0 :: else fi;
		if :: mttl[i] == 0 -> mset[i] = 0 :: else fi;
		i++
	:: else -> break
	od;
	lower(wait); lower(cwait);
	i = 0
}

inline clear_replication() { rep = false; ack = false; rset = 0; rprop = 0; aset = 0; rhold[0] = 0; rhold[1] = 0; rhold[2] = 0 }

active proctype fleet()
{
	byte m;
	do
	:: atomic { tick() }
	:: atomic { paused = !paused }

	/* The owner proposes an ejection; without a copy it takes effect at once. */
	:: atomic { !paused && wait == 0 ->
		held(m); pick_server();
		if
		:: !(m & (1 << s)) && bits(m) < BUDGET ->
			if
			:: !copy -> out = out | (1 << s)
			:: copy ->
#ifdef NO_ACCEPT
				out = out | (1 << s)
#else
				prop = prop | (1 << s)
#endif
			fi
		:: else
		fi; m = 0; s = 0; i = 0 }
	:: atomic { !paused && copy && !rep && !ack ->
		rep = true; rset = out; rprop = prop;
		rhold[0] = hold[0]; rhold[1] = hold[1]; rhold[2] = hold[2] }
	:: atomic { rep && copy ->
		rep = false; cout = rset | rprop; ack = true; aset = rprop;
		chold[0] = rhold[0]; chold[1] = rhold[1]; chold[2] = rhold[2];
		rset = 0; rprop = 0; rhold[0] = 0; rhold[1] = 0; rhold[2] = 0 }
	:: atomic { ack && !paused -> ack = false; out = out | (prop & aset); prop = prop & ~aset & ALL; aset = 0 }
	:: atomic { rep || ack -> clear_replication() }	/* lost */

	/* The owner readmits a server, or ends its ejection to keep the floor. */
	:: atomic { !paused && out ->
		pick_server();
		if :: out & (1 << s) -> out = out & ~(1 << s) & ALL; hold[s] = HOLD :: else fi; s = 0 }

	/* Clients sync, the owner responds, responses arrive or are lost. */
	:: atomic { pick_client(); if :: sync[c] == 0 -> sync[c] = LEASE :: else fi; c = 0 }
	:: atomic { !paused -> pick_client();
		if :: sync[c] > 0 -> mset[c] = out; mttl[c] = sync[c]; sync[c] = 0 :: else fi; c = 0 }
	:: atomic { pick_client();
		if
		:: mttl[c] > 0 ->
			view[c] = mset[c]; lease[c] = mttl[c]; mttl[c] = 0; mset[c] = 0;
			if :: view[c] == 0 -> lease[c] = 0 :: else fi;
			m = view[0] | view[1];
			assert(bits(m) <= BUDGET);
			m = 0
		:: else
		fi; c = 0 }

#ifdef COPY_EJECTS
	:: atomic { paused && copy -> pick_server(); pick_client();
		if
		:: sync[c] > 0 && bits(cout | (1 << s)) <= BUDGET ->
			cout = cout | (1 << s); mset[c] = cout; mttl[c] = sync[c]; sync[c] = 0
		:: else
		fi; s = 0; c = 0 }
#endif

	/* The list drops the owner: the copy takes over with all ejections that it accepted. */
	:: atomic { copy && takeovers < 2 ->
		takeovers++; copy = false; paused = false;
		out = cout; prop = 0; wait = cwait; cwait = 0;
		hold[0] = chold[0]; hold[1] = chold[1]; hold[2] = chold[2];
		cout = 0; chold[0] = 0; chold[1] = 0; chold[2] = 0; clear_replication() }
	/* An owner without a copy recruits one and sends it its complete state. */
	:: atomic { !copy && !paused && takeovers < 2 ->
		copy = true; cout = out | prop; cwait = COPY_WAIT;
		chold[0] = hold[0]; chold[1] = hold[1]; chold[2] = hold[2] }
	/* Both members are gone: a new owner claims the shard with lost history. */
	:: atomic { takeovers < 2 ->
		takeovers++; copy = false; paused = false; out = 0; prop = 0; wait = CLAIM_WAIT; cwait = 0;
		hold[0] = 0; hold[1] = 0; hold[2] = 0;
		cout = 0; chold[0] = 0; chold[1] = 0; chold[2] = 0; clear_replication() }
	od
}
