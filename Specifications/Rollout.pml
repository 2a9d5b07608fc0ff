/* The record of one order, two judges that decide on it, and a daemon that uses the old version under a lease.
 *
 * The order is in phase Moved in the record, which both judges know. Each judge reads the record and
 * appends an outcome, on condition that the record has not changed since. The answer of an append may be lost, and
 * an append may take effect late. Either judge may be paused at any step, and may condemn the
 * version at any time and then appends RolledBack. Done is appended only once the daemon has reported that it
 * has moved, or has been silent for two leases.
 *
 * The daemon knows an earlier phase at first. It sends to the old version only within a lease, which
 * counts from the time at which it sent the report that was answered, and which a judge that knows Moved does
 * not renew. Its former judge, whose own lease has the same duration, renews leases until that has expired. The
 * daemon may be paused or cut off from the judges that know Moved at any time.
 *
 * Asserted: the record has one outcome at most. Once it is Done, the daemon sends nothing to the old
 * version. A daemon that has rolled back is exempt, since it avoids a version that was condemned.
 *
 * Faulty variants, for each of which spin must find a violation:
 *   -DNO_CONDITION      an append takes effect also if the record has changed since it was read
 *   -DDONE_EARLY        Done is appended once the daemon was silent for one lease
 *   -DLEASE_ON_ARRIVAL  the lease counts from the arrival of the reply
 */
#define LAST_TIME 6
#define LEASE 2
#define NONE 0
#define ROLLED_BACK 1
#define DONE 2
#ifdef DONE_EARLY
#define SILENCE LEASE
#else
#define SILENCE (2 * LEASE)
#endif

byte now = 0;

/* The record: its outcome and the number of its changes, and whether two outcomes were appended. */
byte outcome = NONE;
byte recordEnd = 0;

/* An append that takes effect late: at most one is in transit. */
bool isAppendInTransit = false;
byte lateOutcome = NONE;
byte lateEnd = 0;

/* Whether the daemon has been told Moved, and has reported so. The judges know Moved since time 0. */
bool daemonKnowsMoved = false;
bool daemonHasReported = false;

active proctype Clock() {
    do
    :: atomic { now < LAST_TIME -> now++ }
    :: now == LAST_TIME -> break
    od
}

inline takeEffect(newOutcome, end) {
#ifndef NO_CONDITION
    if
    :: end == recordEnd ->
#endif
        assert(outcome == NONE || outcome == newOutcome);
        outcome = newOutcome;
        recordEnd++
#ifndef NO_CONDITION
    :: else
    fi
#endif
}

active proctype LateAppends() {
    do
    :: atomic { isAppendInTransit -> takeEffect(lateOutcome, lateEnd); isAppendInTransit = false }
    :: now == LAST_TIME -> break
    od
}

/* A pause of a judge is an arbitrary delay between two of its steps. */
active [2] proctype Judge() {
    byte wanted = NONE;
    byte end;
    byte known;
    do
    :: atomic { wanted == NONE -> wanted = ROLLED_BACK }
    :: atomic { wanted == NONE && (daemonHasReported || now >= SILENCE) -> wanted = DONE }
    :: wanted != NONE ->
       atomic { end = recordEnd; known = outcome };
       if
       /* The outcome of the record is adopted. */
       :: known != NONE -> break
       :: known == NONE ->
          if
          :: atomic { takeEffect(wanted, end) }
          /* The answer is lost, or the append takes effect late. */
          :: atomic { !isAppendInTransit -> isAppendInTransit = true; lateOutcome = wanted; lateEnd = end }
          fi;
          /* A judge without an answer reads the record again; it may condemn the version meanwhile. */
          if
          :: wanted = ROLLED_BACK
          :: skip
          fi
       fi
    :: now == LAST_TIME -> break
    od
}

/* The former judge of the daemon's hall. Its last report that was answered by a judge in an earlier
 * phase was sent at time 0 at the latest. It receives a report and replies at any time after that. */
bool isReportInTransit = false;
byte reportSentAt = 0;
bool isReplyInTransit = false;
byte replyOf = 0;

active proctype FormerJudge() {
    do
    :: atomic {
        isReportInTransit && !isReplyInTransit ->
        isReportInTransit = false;
        if
        :: now < LEASE -> isReplyInTransit = true; replyOf = reportSentAt
        :: else
        fi
       }
    :: now == LAST_TIME -> break
    od
}

active proctype Daemon() {
    byte leaseSince = 0;
    bool hasLease = false;
    bool isRunning = false;
    do
    :: atomic { !isReportInTransit && !daemonKnowsMoved -> isReportInTransit = true; reportSentAt = now }
    :: atomic {
        isReplyInTransit ->
        isReplyInTransit = false;
        hasLease = true;
#ifdef LEASE_ON_ARRIVAL
        leaseSince = now
#else
        leaseSince = (replyOf > leaseSince -> replyOf : leaseSince)
#endif
       }
    /* A judge that knows Moved is reached. */
    :: atomic { !daemonKnowsMoved -> daemonKnowsMoved = true }
    /* The lease is checked for each send. What was sent runs until a later step. */
    :: atomic {
        !daemonKnowsMoved && hasLease && now < leaseSince + LEASE ->
        assert(outcome != DONE);
        isRunning = true
       }
    :: atomic { isRunning -> isRunning = false }
    :: atomic { daemonKnowsMoved && !isRunning && !daemonHasReported -> daemonHasReported = true }
    :: now == LAST_TIME -> break
    od
}
