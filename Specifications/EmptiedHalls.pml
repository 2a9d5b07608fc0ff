/* An operator's order to empty a hall and its withdrawal, and two daemons: one reads the orders from
 * the platform, the other queries the first one and obtains a grant from an upstream's owner before
 * it sends a request.
 *
 * The operator issues the order, withdraws it and issues it again, each time at a higher position.
 * The reader may read at any time. Its replies to the querying daemon carry the time of the query,
 * may be delayed arbitrarily and may arrive out of order. A grant may be delayed as well.
 *
 * Asserted whenever the querying daemon sends a request to the hall and can prove that its knowledge
 * of the orders is not older than BOUND: the hall was not emptied longer than BOUND ago. A daemon that
 * cannot prove this is exempt and continues to serve.
 *
 * Faulty variants, for each of which spin must find a violation:
 *   -DBY_ARRIVAL       the reply that arrives last is applied, regardless of its position
 *   -DGRANT_OUTLIVES   a grant is used without checking what was learnt since it was given
 *   -DAGE_ON_ARRIVAL   a reply counts as proven at the time of its arrival
 */
#define LAST_TIME 5
#define BOUND 2
#define MAX_POSITION 3

byte now = 0;
/* Orders at odd positions empty the hall, those at even positions withdraw that. */
byte position = 0;
byte emptiedAt = 0;
#define IS_EMPTIED(orderPosition) ((orderPosition) % 2 == 1)

/* Replies in transit to the querying daemon: at most two, delivered in any order. */
typedef Reply {
    bool isInTransit;
    byte orderPosition;
    byte queriedAt;
}
Reply replies[2];

byte knownPosition = 0;
byte provenAt = 0;
bool isGranted = false;

active proctype Clock() {
    do
    :: atomic { now < LAST_TIME -> now++ }
    :: now == LAST_TIME -> break
    od
}

active proctype Operator() {
    do
    :: atomic {
        position < MAX_POSITION ->
        position++;
        if
        :: IS_EMPTIED(position) -> emptiedAt = now
        :: else
        fi
       }
    :: now == LAST_TIME -> break
    od
}

/* Receives a query, reads the orders after that, and replies with the time of the query. */
active proctype Reader() {
    byte queriedAt;
    byte orderPosition;
    do
    :: queriedAt = now;
       orderPosition = position;
       if
       :: atomic { !replies[0].isInTransit -> replies[0].isInTransit = true; replies[0].orderPosition = orderPosition; replies[0].queriedAt = queriedAt }
       :: atomic { !replies[1].isInTransit -> replies[1].isInTransit = true; replies[1].orderPosition = orderPosition; replies[1].queriedAt = queriedAt }
       :: now == LAST_TIME -> break
       fi
    :: now == LAST_TIME -> break
    od
}

inline receiveReply(index) {
#ifdef BY_ARRIVAL
    knownPosition = replies[index].orderPosition;
    provenAt = (replies[index].queriedAt > provenAt -> replies[index].queriedAt : provenAt);
#else
    if
    :: replies[index].orderPosition >= knownPosition -> knownPosition = replies[index].orderPosition
    :: else
    fi;
#ifdef AGE_ON_ARRIVAL
    provenAt = now;
#else
    provenAt = (replies[index].queriedAt > provenAt -> replies[index].queriedAt : provenAt);
#endif
#endif
    replies[index].isInTransit = false
}

inline send() {
    if
    :: now - provenAt <= BOUND -> assert(!IS_EMPTIED(position) || now - emptiedAt <= BOUND)
    :: else
    fi
}

active proctype Daemon() {
    do
    :: atomic { replies[0].isInTransit -> receiveReply(0) }
    :: atomic { replies[1].isInTransit -> receiveReply(1) }
    /* The owner, which may not know of the order, grants a request. */
    :: atomic { !isGranted && !IS_EMPTIED(knownPosition) -> isGranted = true }
    :: atomic {
        isGranted -> isGranted = false;
#ifdef GRANT_OUTLIVES
        send()
#else
        if
        :: !IS_EMPTIED(knownPosition) -> send()
        :: else
        fi
#endif
       }
    :: now == LAST_TIME -> break
    od
}
