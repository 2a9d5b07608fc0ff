/* A bound on the age of a cached key and a lease, both held by a daemon whose VM may be suspended at
 * any moment.
 *
 * Real time advances for all other processes. The daemon reads a key from a store until an operator
 * revokes it, and serves with the key as long as its last read is not older than BOUND. It holds a
 * lease, which the owner reassigns once the lease has expired; the daemon measures the lease from the
 * time of its request. MonotonicClock::now is the clock. A check and the action that it permits are
 * one atomic step here, because they run in one iteration of the daemon's event loop.
 *
 * Asserted whenever the daemon acts: the key was not revoked longer than BOUND ago, and the lease was
 * not reassigned.
 *
 * Faulty variants, for each of which spin must find a violation:
 *   -DSTEADY       uses a clock that stops while the VM is suspended
 *   -DCHECK_ONCE   acts in a later step than the check
 *   -DAGE_ON_WAKE  dates the read and the lease request by the time of resumption
 */
#define LAST_TIME 7
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

bool isKeyValid = true;
byte revokedAt = 0;
bool isReassigned = false;

/* A waiting daemon takes over the lease as soon as it has expired. */
bool isLeased = false;
byte leasedAt = 0;

byte provenAt = 0;
bool hasCachedKey = false;
byte leaseRequestedAt = 0;
bool holdsLease = false;

active proctype Clock() {
    do
    :: atomic { now < LAST_TIME && !isSuspended -> now++ }
    :: atomic { now < LAST_TIME && isSuspended -> now++; suspendedTime++ }
    :: now == LAST_TIME -> break
    od
}

active proctype Hypervisor() {
    do
    :: atomic { !isSuspended && now < LAST_TIME -> isSuspended = true }
    :: atomic {
        isSuspended -> isSuspended = false;
#ifdef AGE_ON_WAKE
        provenAt = CLOCK;
        leaseRequestedAt = CLOCK
#endif
       }
    :: now == LAST_TIME && !isSuspended -> break
    od
}

active proctype Operator() {
    atomic { isKeyValid = false; revokedAt = now }
}

active proctype Owner() {
    do
    :: atomic { isLeased && now - leasedAt >= LEASE -> isLeased = false; isReassigned = true; break }
    :: now == LAST_TIME -> break
    od
}

active proctype Daemon() {
    byte sentAt;
    bool readIsKeyValid;
    bool mayServe;
    bool mayUse;
    do
    /* Reads the store; the age of the result is measured from the time of the request. */
    :: atomic { !isSuspended -> sentAt = CLOCK };
       readIsKeyValid = isKeyValid;
       atomic { !isSuspended -> provenAt = sentAt; hasCachedKey = readIsKeyValid }
    /* Requests the lease unless it is held already or has been reassigned. */
    :: atomic { !isSuspended && !holdsLease && !isReassigned -> sentAt = CLOCK };
       if
       :: atomic { !isLeased && !isReassigned -> isLeased = true; leasedAt = now };
          atomic { !isSuspended -> leaseRequestedAt = sentAt; holdsLease = true }
       :: else
       fi
#ifdef CHECK_ONCE
    :: atomic { !isSuspended -> mayServe = hasCachedKey && CLOCK - provenAt <= BOUND; mayUse = holdsLease && CLOCK - leaseRequestedAt < LEASE };
       atomic {
        !isSuspended ->
        if
        :: mayServe -> assert(isKeyValid || now - revokedAt <= BOUND)
        :: else
        fi;
        if
        :: mayUse -> assert(!isReassigned)
        :: else
        fi
       }
#else
    :: atomic {
        !isSuspended ->
        if
        :: hasCachedKey && CLOCK - provenAt <= BOUND -> assert(isKeyValid || now - revokedAt <= BOUND)
        :: else
        fi;
        if
        :: holdsLease && CLOCK - leaseRequestedAt < LEASE -> assert(!isReassigned)
        :: else
        fi
       }
#endif
    :: now == LAST_TIME -> break
    od
}
