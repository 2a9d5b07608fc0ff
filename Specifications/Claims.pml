/* At most once by claims on an append-only log.
 *
 * ATTEMPTS attempts, each a sending of the same key through some daemon, append a
 * claim, whose reply may be lost and which may take effect late or never. An
 * attempt that sees its own claim in the log runs the call if, by all that stands
 * before it, the key was free. It may be paused at any step, give up, or lose its
 * memory in a restart. docs/design/at-most-once.md ties each step to its function.
 *
 * Broken variants, each of which spin has to refute:
 *   -DRUN_BEFORE_SEEN      runs when the append is answered, without reading
 *   -DGIVE_UP_UNSAFELY     says not-run and still runs when the claim shows up
 *   -DFREE_ON_TIMEOUT      frees a key whose holder is silent, as a lease would
 *   -DNEVER_ABANDON        gives up without saying so in the log
 */
#define ATTEMPTS 3
#define LOGSIZE 7

#define CLAIM 1
#define DONE 2
#define ABANDON 3

#define FREE 0
#define HELD 1
#define FINISHED 2

byte logStep[LOGSIZE];
byte logAttempt[LOGSIZE];
byte logLength = 0;

/* What became of each attempt's claim record on its way to the log. */
#define NOT_SENT 0
#define ON_ITS_WAY 1
#define IN_LOG 2
#define LOST 3
byte claimState[ATTEMPTS];
bool abandoned[ATTEMPTS];

byte runs = 0;
bool ranBy[ATTEMPTS];
bool toldNotRun[ATTEMPTS];
bool answered[ATTEMPTS];
bool restarted[ATTEMPTS];
bool logIsUp = true;
byte outages = 0;

inline appendRecord(step, who) {
    assert(logLength < LOGSIZE);
    logStep[logLength] = step;
    logAttempt[logLength] = who;
    logLength++
}

/* ClaimTable::apply over the first `upTo` records. */
inline fold(upTo) {
    d_step {
        state = FREE;
        holder = 255;
        k = 0;
        do
        :: k < ATTEMPTS -> voided[k] = false; k++
        :: else -> break
        od;
        k = 0;
        do
        :: k < upTo ->
            if
            :: logStep[k] == CLAIM && state == FREE && !voided[logAttempt[k]] -> state = HELD; holder = logAttempt[k]
            :: logStep[k] == DONE && state == HELD && holder == logAttempt[k] -> state = FINISHED
            :: logStep[k] == ABANDON ->
                voided[logAttempt[k]] = true;
                if
                :: state == HELD && holder == logAttempt[k] -> state = FREE
                :: else -> skip
                fi
            :: else -> skip
            fi;
            k++
        :: else -> break
        od;
        k = 0
    }
}

/* The network and the log: an append takes effect now, late or never, and its
 * reply is lost or not, which the attempt cannot tell apart. */
proctype Carrier(byte me) {
    claimState[me] == ON_ITS_WAY;
    if
    :: atomic { logIsUp -> appendRecord(CLAIM, me); claimState[me] = IN_LOG }
    :: claimState[me] = LOST
    fi
}

proctype Outage() {
    do
    :: atomic { logIsUp && outages < 1 -> logIsUp = false; outages++ }
    :: atomic { !logIsUp -> logIsUp = true }
    od
}

proctype Attempt(byte me) {
    byte state, holder, k, upTo, seen;
    bool voided[ATTEMPTS];
    bool mayRun = false;
    bool gaveUp = false;

    /* An early look: ClaimGate::claim. */
    atomic {
        upTo = logLength;
        fold(upTo);
        if
        :: state != FREE -> answered[me] = true; goto over
        :: else -> claimState[me] = ON_ITS_WAY
        fi
    }
#ifdef RUN_BEFORE_SEEN
    claimState[me] == IN_LOG;
    mayRun = true;
    goto execute;
#endif
    /* Reads until its own claim shows up: ClaimGate::handleReadResult, decideAttempt. */
    do
    :: atomic { (logIsUp && claimState[me] == IN_LOG) ->
            seen = 0;
            do
            :: logStep[seen] == CLAIM && logAttempt[seen] == me -> break
            :: else -> seen++
            od;
            upTo = seen + 1;
            fold(upTo);
            mayRun = (state == HELD && holder == me);
#ifdef FREE_ON_TIMEOUT
            if
            :: state == HELD && holder != me -> mayRun = true
            :: true
            fi;
#endif
            break
        }
    /* ClaimGate::expireAttempts: the claim may still be on its way. */
    :: claimState[me] == ON_ITS_WAY || claimState[me] == LOST ->
        gaveUp = true;
        toldNotRun[me] = true;
        answered[me] = true;
#ifdef GIVE_UP_UNSAFELY
        claimState[me] == IN_LOG;
        mayRun = true;
#endif
        break
    /* A restart: the process that comes back knows nothing of this attempt. */
    :: restarted[me] = true; goto over
    od;
execute:
    if
    :: gaveUp && !mayRun ->
#ifndef NEVER_ABANDON
        atomic { logIsUp -> appendRecord(ABANDON, me); abandoned[me] = true };
#endif
        skip
    :: mayRun ->
        /* Paused here for any time, and unaware of it. */
        if
        :: restarted[me] = true; goto over
        :: atomic { runs++; ranBy[me] = true };
            if
            :: atomic { logIsUp -> appendRecord(DONE, me); answered[me] = true }
            /* The answer was lost: the key stays held, the caller is told so. */
            :: answered[me] = true
            :: restarted[me] = true; goto over
            fi
        /* The upstream could not be reached: certainly not run. */
        :: toldNotRun[me] = true; answered[me] = true;
            atomic { logIsUp -> appendRecord(ABANDON, me); abandoned[me] = true }
        fi
    :: else -> answered[me] = true
    fi;
over:
    skip
}

init {
    byte n = 0;
    atomic {
        do
        :: n < ATTEMPTS -> run Attempt(n); run Carrier(n); n++
        :: else -> break
        od;
        run Outage()
    }
}

#define atMostOnce (runs <= 1)
#define verdictTrue (!(toldNotRun[0] && ranBy[0]) && !(toldNotRun[1] && ranBy[1]) && !(toldNotRun[2] && ranBy[2]))
#define settled(n) (answered[n] || restarted[n])
/* A claim that its attempt gave up does not hold the key for ever. */
#define givenUp(n) (toldNotRun[n] && claimState[n] == IN_LOG && !ranBy[n])

ltl once { [] atMostOnce }
ltl verdict { [] verdictTrue }
ltl answer { <> (settled(0) && settled(1) && settled(2)) }
ltl freed { [] (givenUp(0) -> <> (abandoned[0] || restarted[0])) }
