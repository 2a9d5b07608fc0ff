/* One bound on a belief and one lease, held by a daemon whose VM may be suspended at any moment.
 *
 * Real time goes on for everybody else. The daemon reads a store that holds a key until an operator
 * takes it away, and serves with the key for as long as its read is not older than the bound. It holds
 * a lease, which its owner gives to somebody else once the lease's time has passed; the daemon
 * counts that time from the moment at which it asked. MonotonicClock::now is the clock; a check and
 * what it allows are one step here, as they are one turn of the daemon's loop.
 *
 * Asserted wherever the daemon acts: that the key was not taken away longer ago than the bound, and
 * that the lease was not given to somebody else.
 *
 * Broken variants, each of which spin has to refute:
 *   -DSTEADY       counts on a clock that stands still while the VM is suspended
 *   -DCHECK_ONCE   acts later by a check that was made before
 *   -DAGE_ON_WAKE  takes what it believes for as old as the wake
 */
#define LATEST 7
#define BOUND 2
#define LEASE 2

byte now = 0;
byte suspendedTime = 0;
bool isSuspended = false;

#ifdef STEADY
#define CLOCK (now - suspendedTime)
#else
#define CLOCK now
#endif

bool hasKey = true;
byte removedAt = 0;
bool isGivenAway = false;

/* Who waits for the lease to end takes it as soon as it has. */
bool isLeased = false;
byte leasedAt = 0;

byte provenAt = 0;
bool knowsKey = false;
byte askedAt = 0;
bool holdsLease = false;

active proctype Clock() {
    do
    :: atomic { now < LATEST && !isSuspended -> now++ }
    :: atomic { now < LATEST && isSuspended -> now++; suspendedTime++ }
    :: now == LATEST -> break
    od
}

active proctype Suspender() {
    do
    :: atomic { !isSuspended && now < LATEST -> isSuspended = true }
    :: atomic {
        isSuspended -> isSuspended = false;
#ifdef AGE_ON_WAKE
        provenAt = CLOCK;
        askedAt = CLOCK
#endif
       }
    :: now == LATEST && !isSuspended -> break
    od
}

active proctype Operator() {
    atomic { hasKey = false; removedAt = now }
}

active proctype Owner() {
    do
    :: atomic { isLeased && now - leasedAt >= LEASE -> isLeased = false; isGivenAway = true; break }
    :: now == LATEST -> break
    od
}

active proctype Daemon() {
    byte sentAt;
    bool seen;
    bool mayServe;
    bool mayUse;
    do
    /* Reads the store: the age counts from the sending. */
    :: atomic { !isSuspended -> sentAt = CLOCK };
       seen = hasKey;
       atomic { !isSuspended -> provenAt = sentAt; knowsKey = seen }
    /* Asks for the lease, once. */
    :: atomic { !isSuspended && !holdsLease && !isGivenAway -> sentAt = CLOCK };
       if
       :: atomic { !isLeased && !isGivenAway -> isLeased = true; leasedAt = now };
          atomic { !isSuspended -> askedAt = sentAt; holdsLease = true }
       :: else
       fi
#ifdef CHECK_ONCE
    :: atomic { !isSuspended -> mayServe = knowsKey && CLOCK - provenAt <= BOUND; mayUse = holdsLease && CLOCK - askedAt < LEASE };
       atomic {
        !isSuspended ->
        if
        :: mayServe -> assert(hasKey || now - removedAt <= BOUND)
        :: else
        fi;
        if
        :: mayUse -> assert(!isGivenAway)
        :: else
        fi
       }
#else
    :: atomic {
        !isSuspended ->
        if
        :: knowsKey && CLOCK - provenAt <= BOUND -> assert(hasKey || now - removedAt <= BOUND)
        :: else
        fi;
        if
        :: holdsLease && CLOCK - askedAt < LEASE -> assert(!isGivenAway)
        :: else
        fi
       }
#endif
    :: now == LATEST -> break
    od
}
