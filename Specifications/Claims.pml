/* At-most-once execution by claims in an append-only log.
 *
 * Each of ATTEMPTS attempts sends a request with the same key through some daemon and
 * appends a claim for it. The reply to the append may be lost, and the append may take
 * effect late or never. An attempt that reads its own claim from the log executes the
 * request if the key was free according to all preceding records. It may be paused at
 * any step, give up, or lose its state in a restart. docs/design/at-most-once.md maps
 * each step to the function that implements it.
 *
 * Faulty variants, for each of which spin must find a violation:
 *   -DRUN_BEFORE_SEEN      executes once the append is acknowledged, without reading the log
 *   -DGIVE_UP_UNSAFELY     reports not-run, but executes if the claim appears later
 *   -DFREE_ON_TIMEOUT      frees a key whose holder is silent, as a lease would
 *   -DNEVER_ABANDON        gives up without appending an ABANDON record
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

/* The delivery state of each attempt's claim record. */
#define NOT_SENT 0
#define IN_TRANSIT 1
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

/* Models ClaimTable::apply over the first `upTo` records. */
inline replayLog(upTo) {
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

/* Models the network and the log: an append takes effect immediately, late or never, and its
 * reply may be lost. The attempt cannot tell these cases apart. */
proctype Network(byte me) {
    claimState[me] == IN_TRANSIT;
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

    /* Reads the log before appending a claim: ClaimGate::claim. */
    atomic {
        upTo = logLength;
        replayLog(upTo);
        if
        :: state != FREE -> answered[me] = true; goto finished
        :: else -> claimState[me] = IN_TRANSIT
        fi
    }
#ifdef RUN_BEFORE_SEEN
    claimState[me] == IN_LOG;
    mayRun = true;
    goto execute;
#endif
    /* Reads the log until it contains this attempt's claim: ClaimGate::handleReadResult, decideAttempt. */
    do
    :: atomic { (logIsUp && claimState[me] == IN_LOG) ->
            seen = 0;
            do
            :: logStep[seen] == CLAIM && logAttempt[seen] == me -> break
            :: else -> seen++
            od;
            upTo = seen + 1;
            replayLog(upTo);
            mayRun = (state == HELD && holder == me);
#ifdef FREE_ON_TIMEOUT
            if
            :: state == HELD && holder != me -> mayRun = true
            :: true
            fi;
#endif
            break
        }
    /* ClaimGate::expireAttempts: the claim may still be in transit. */
    :: claimState[me] == IN_TRANSIT || claimState[me] == LOST ->
        gaveUp = true;
        toldNotRun[me] = true;
        answered[me] = true;
#ifdef GIVE_UP_UNSAFELY
        claimState[me] == IN_LOG;
        mayRun = true;
#endif
        break
    /* A restart: the new process has no state of this attempt. */
    :: restarted[me] = true; goto finished
    od;
execute:
    if
    :: gaveUp && !mayRun ->
#ifndef NEVER_ABANDON
        atomic { logIsUp -> appendRecord(ABANDON, me); abandoned[me] = true };
#endif
        skip
    :: mayRun ->
        /* The attempt may be paused here for any time without noticing it. */
        if
        :: restarted[me] = true; goto finished
        :: atomic { runs++; ranBy[me] = true };
            if
            :: atomic { logIsUp -> appendRecord(DONE, me); answered[me] = true }
            /* The answer was lost: the key stays held, and the caller is told so. */
            :: answered[me] = true
            :: restarted[me] = true; goto finished
            fi
        /* The upstream could not be reached, so the request was certainly not executed. */
        :: toldNotRun[me] = true; answered[me] = true;
            atomic { logIsUp -> appendRecord(ABANDON, me); abandoned[me] = true }
        fi
    :: else -> answered[me] = true
    fi;
finished:
    skip
}

init {
    byte n = 0;
    atomic {
        do
        :: n < ATTEMPTS -> run Attempt(n); run Network(n); n++
        :: else -> break
        od;
        run Outage()
    }
}

#define atMostOnce (runs <= 1)
#define verdictTrue (!(toldNotRun[0] && ranBy[0]) && !(toldNotRun[1] && ranBy[1]) && !(toldNotRun[2] && ranBy[2]))
#define settled(n) (answered[n] || restarted[n])
/* A claim whose attempt has given up does not hold the key forever. */
#define givenUp(n) (toldNotRun[n] && claimState[n] == IN_LOG && !ranBy[n])

ltl once { [] atMostOnce }
ltl verdict { [] verdictTrue }
ltl answer { <> (settled(0) && settled(1) && settled(2)) }
ltl freed { [] (givenUp(0) -> <> (abandoned[0] || restarted[0])) }
