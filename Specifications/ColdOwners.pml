/* The owners of one upstream that is cold, while daemons come and go.
 *
 * Time goes in ticks; a second has two of them. A request takes up to one tick from its grant to the
 * upstream. A newcomer joins that goes before the owner so far. It takes itself for the owner at
 * once, the other one learns of it within VIEW ticks, and whoever has a request asks either of them
 * at any time. An owner grants a part within each window, by whether it is the first for sure.
 *
 * Asserted: in any second the upstream sees no more than it may.
 *
 * Broken variants, each of which spin has to refute:
 *   -DSETTLED_AT_ONCE   a newcomer grants the owner's part from its start
 *   -DNARROW_WINDOW     grants are counted within a second, as if they arrived at once
 *   -DEQUAL_PARTS       whoever is asked grants the owner's part
 */
#define LATEST 9
#define VIEW 2
#define FOR_OWNER 2
#define FOR_NEXT 1
#define MOST (FOR_OWNER + FOR_NEXT)

byte now = 0;
/* Arrivals in the tick before, in this one and in the next one. */
byte arrivedBefore = 0;
byte arrivesNow = 0;
byte arrivesNext = 0;

byte joinedAt = 0;
bool hasJoined = false;
bool isKnown = false;

/* Grants of this tick, of the one before and of the one before that: of the owner so far, and of
 * the newcomer. */
typedef Grants {
    byte inThis;
    byte inLast;
    byte inSecondLast;
}
Grants grants[2];

#ifdef NARROW_WINDOW
#define IN_WINDOW(owner) (grants[owner].inThis + grants[owner].inLast)
#else
#define IN_WINDOW(owner) (grants[owner].inThis + grants[owner].inLast + grants[owner].inSecondLast)
#endif

#ifdef EQUAL_PARTS
#define PART_OF_FORMER FOR_OWNER
#define PART_OF_NEWCOMER FOR_OWNER
#else
#define PART_OF_FORMER (isKnown -> FOR_NEXT : FOR_OWNER)
#ifdef SETTLED_AT_ONCE
#define PART_OF_NEWCOMER FOR_OWNER
#else
/* Once the former owner knows for sure, what it granted before has left the window as well. */
#define PART_OF_NEWCOMER (now - joinedAt > VIEW + 2 -> FOR_OWNER : FOR_NEXT)
#endif
#endif

inline turn(owner) {
    grants[owner].inSecondLast = grants[owner].inLast;
    grants[owner].inLast = grants[owner].inThis;
    grants[owner].inThis = 0
}

active proctype Clock() {
    do
    :: atomic {
        now < LATEST && !(hasJoined && !isKnown && now - joinedAt >= VIEW) ->
        now++;
        arrivedBefore = arrivesNow;
        arrivesNow = arrivesNext;
        arrivesNext = 0;
        turn(0);
        turn(1);
        assert(arrivedBefore + arrivesNow <= MOST)
       }
    :: now == LATEST -> break
    od
}

active proctype Newcomer() {
    atomic { hasJoined = true; joinedAt = now };
    isKnown = true
}

inline arrive() {
    if
    :: arrivesNow++
    :: arrivesNext++
    fi;
    assert(arrivedBefore + arrivesNow <= MOST)
}

active proctype Askers() {
    do
    :: atomic { now < LATEST && IN_WINDOW(0) < PART_OF_FORMER -> grants[0].inThis++; arrive() }
    :: atomic { now < LATEST && hasJoined && IN_WINDOW(1) < PART_OF_NEWCOMER -> grants[1].inThis++; arrive() }
    :: now == LATEST -> break
    od
}
