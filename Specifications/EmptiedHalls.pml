/* An operator's order to empty a hall, its taking back, and two daemons: one reads the platform's
 * orders, the other is told of them, and asks an upstream's owner before it sends.
 *
 * The operator gives the order, takes it back and gives it again; each has a higher position. The
 * reader reads at any time and knows as of when it sent the read. It tells the other daemon, which
 * asked at a time of its own; what is told is on its way for as long as it likes and may overtake
 * what was told before, and so does the reader's late answer. An owner's grant is on its way too.
 *
 * Asserted wherever the told daemon sends to the hall and can prove that what it knows of the orders
 * is not older than the bound: that the hall was not emptied longer ago than the bound. A daemon that
 * cannot prove that is not bound by the rule and serves on.
 *
 * Broken variants, each of which spin has to refute:
 *   -DBY_ARRIVAL       what arrives last counts, whatever its position
 *   -DGRANT_OUTLIVES   a grant is used as it was given, whatever was learnt since
 *   -DAGE_ON_ARRIVAL   what was told counts as proven when it arrives
 */
#define LATEST 5
#define BOUND 2
#define ORDERS 3

byte now = 0;
/* Odd positions empty the hall, even ones take that back. */
byte position = 0;
byte emptiedAt = 0;
#define IS_EMPTIED(place) ((place) % 2 == 1)

/* What is on its way to the told daemon: up to two at once, in any order. */
typedef Told {
    bool isThere;
    byte place;
    byte stamp;
}
Told told[2];

byte knownPlace = 0;
byte provenAt = 0;
bool isGranted = false;

active proctype Clock() {
    do
    :: atomic { now < LATEST -> now++ }
    :: now == LATEST -> break
    od
}

active proctype Operator() {
    do
    :: atomic {
        position < ORDERS ->
        position++;
        if
        :: IS_EMPTIED(position) -> emptiedAt = now
        :: else
        fi
       }
    :: now == LATEST -> break
    od
}

/* The told daemon's ask arrives, the reader reads after that and answers with the ask's own time. */
active proctype Reader() {
    byte stamp;
    byte place;
    do
    :: stamp = now;
       place = position;
       if
       :: atomic { !told[0].isThere -> told[0].isThere = true; told[0].place = place; told[0].stamp = stamp }
       :: atomic { !told[1].isThere -> told[1].isThere = true; told[1].place = place; told[1].stamp = stamp }
       :: now == LATEST -> break
       fi
    :: now == LATEST -> break
    od
}

inline take(number) {
#ifdef BY_ARRIVAL
    knownPlace = told[number].place;
    provenAt = (told[number].stamp > provenAt -> told[number].stamp : provenAt);
#else
    if
    :: told[number].place >= knownPlace -> knownPlace = told[number].place
    :: else
    fi;
#ifdef AGE_ON_ARRIVAL
    provenAt = now;
#else
    provenAt = (told[number].stamp > provenAt -> told[number].stamp : provenAt);
#endif
#endif
    told[number].isThere = false
}

inline send() {
    if
    :: now - provenAt <= BOUND -> assert(!IS_EMPTIED(position) || now - emptiedAt <= BOUND)
    :: else
    fi
}

active proctype Daemon() {
    do
    :: atomic { told[0].isThere -> take(0) }
    :: atomic { told[1].isThere -> take(1) }
    /* The owner, which need not know of the order, allows a send. */
    :: atomic { !isGranted && !IS_EMPTIED(knownPlace) -> isGranted = true }
    :: atomic {
        isGranted -> isGranted = false;
#ifdef GRANT_OUTLIVES
        send()
#else
        if
        :: !IS_EMPTIED(knownPlace) -> send()
        :: else
        fi
#endif
       }
    :: now == LATEST -> break
    od
}
