/* Rate limiting of a cold upstream while its ownership moves to a daemon that joins.
 *
 * Time advances in ticks, two per second. A request reaches the upstream at most one tick after its
 * grant. The joining daemon precedes the current owner in the order of owners. It considers itself
 * the owner immediately; the former owner learns of it within MAX_VIEW_DELAY ticks. Either of them may
 * be asked for a grant at any time. The former owner grants OWNER_QUOTA per window until it learns of
 * the joining daemon, then NON_OWNER_QUOTA. The joining daemon grants NON_OWNER_QUOTA until the former
 * owner's earlier grants have left the window, then OWNER_QUOTA.
 *
 * Asserted: the upstream receives no more than MAX_ARRIVALS requests in any second.
 *
 * Faulty variants, for each of which spin must find a violation:
 *   -DSETTLED_AT_ONCE   the joining daemon grants the owner's quota from its start
 *   -DNARROW_WINDOW     grants are counted over one second, as if requests arrived immediately
 *   -DEQUAL_PARTS       both daemons grant the owner's quota
 */
#define LAST_TICK 9
#define MAX_VIEW_DELAY 2
#define OWNER_QUOTA 2
#define NON_OWNER_QUOTA 1
#define MAX_ARRIVALS (OWNER_QUOTA + NON_OWNER_QUOTA)

byte now = 0;
/* Requests that arrive at the upstream in the previous, the current and the next tick. */
byte arrivedBefore = 0;
byte arrivesNow = 0;
byte arrivesNext = 0;

byte joinedAt = 0;
bool hasJoined = false;
bool isJoinKnown = false;

/* Grants in the current tick and in the two before it, by the former owner (0) and by the joining
 * daemon (1). */
typedef Grants {
    byte thisTick;
    byte lastTick;
    byte twoTicksAgo;
}
Grants grants[2];

#ifdef NARROW_WINDOW
#define IN_WINDOW(owner) (grants[owner].thisTick + grants[owner].lastTick)
#else
#define IN_WINDOW(owner) (grants[owner].thisTick + grants[owner].lastTick + grants[owner].twoTicksAgo)
#endif

#ifdef EQUAL_PARTS
#define QUOTA_OF_FORMER OWNER_QUOTA
#define QUOTA_OF_JOINING OWNER_QUOTA
#else
#define QUOTA_OF_FORMER (isJoinKnown -> NON_OWNER_QUOTA : OWNER_QUOTA)
#ifdef SETTLED_AT_ONCE
#define QUOTA_OF_JOINING OWNER_QUOTA
#else
/* MAX_VIEW_DELAY ticks until the former owner has certainly learnt of the change, and two more until its
 * earlier grants have left the window. */
#define QUOTA_OF_JOINING (now - joinedAt > MAX_VIEW_DELAY + 2 -> OWNER_QUOTA : NON_OWNER_QUOTA)
#endif
#endif

inline shiftWindow(owner) {
    grants[owner].twoTicksAgo = grants[owner].lastTick;
    grants[owner].lastTick = grants[owner].thisTick;
    grants[owner].thisTick = 0
}

active proctype Clock() {
    do
    :: atomic {
        now < LAST_TICK && !(hasJoined && !isJoinKnown && now - joinedAt >= MAX_VIEW_DELAY) ->
        now++;
        arrivedBefore = arrivesNow;
        arrivesNow = arrivesNext;
        arrivesNext = 0;
        shiftWindow(0);
        shiftWindow(1);
        assert(arrivedBefore + arrivesNow <= MAX_ARRIVALS)
       }
    :: now == LAST_TICK -> break
    od
}

active proctype JoiningDaemon() {
    atomic { hasJoined = true; joinedAt = now };
    isJoinKnown = true
}

inline arrive() {
    if
    :: arrivesNow++
    :: arrivesNext++
    fi;
    assert(arrivedBefore + arrivesNow <= MAX_ARRIVALS)
}

active proctype Requesters() {
    do
    :: atomic { now < LAST_TICK && IN_WINDOW(0) < QUOTA_OF_FORMER -> grants[0].thisTick++; arrive() }
    :: atomic { now < LAST_TICK && hasJoined && IN_WINDOW(1) < QUOTA_OF_JOINING -> grants[1].thisTick++; arrive() }
    :: now == LAST_TICK -> break
    od
}
