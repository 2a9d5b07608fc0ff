/* A store that comes back from a copy which lacks its last record.
 *
 * The log holds configurations, each by its version. A relay reads it, and another daemon
 * goes by what the relay tells. Once, at any moment, the store loses its newest record; its
 * era rises. The operator writes what was lost again, or a newer configuration, so another
 * record stands at an offset that was read before. Reads take any time, and an answer
 * from before the return may arrive after it. docs/design/platform.md ties each step to its
 * function.
 *
 * Asserted: no daemon goes back to an older version; whoever holds that nothing is newer,
 * by a read that was sent after the last record was written, has the newest version.
 *
 * Broken variants, each of which spin has to refute:
 *   -DOFFSET_ALONE   a position is an offset, whichever log it is of
 *   -DTAKE_COPY      the copy's older configuration replaces the one in force
 *   -DTELL_OFFSET    daemons tell one another offsets alone
 */
#define MOST 3

byte log[MOST + 1] = 1;
byte end = 1;
byte era = 1;
bool hasReturned = false;
/* The version written last, and whether all is written that ever will be. */
byte newest = 1;
bool isOver = false;

/* What a daemon has, where it reads on, and whether it believes that nothing is newer. */
byte relayVersion = 0;
byte relayEra = 0;
byte relayNext = 0;
bool relayProven = false;

byte otherVersion = 0;
byte otherEra = 0;
byte otherNext = 0;
bool otherProven = false;

/* The version that the relay has, and the position behind it. */
chan told = [1] of { byte, byte, byte };

active proctype Operator() {
    /* A second configuration, which the store may lose. */
    atomic { log[end] = 2; end++; newest = 2 }
    if
    :: atomic { end--; era++; hasReturned = true }
       if
       /* It is written again, */
       :: atomic { log[end] = 2; end++ }
       /* or a newer one, where it stood, or beyond it. */
       :: atomic { log[end] = 3; end++; newest = 3 }
       :: atomic { log[end] = 2; end++; log[end] = 3; end++; newest = 3 }
       fi
    :: skip
    fi
    isOver = true
}

/* Gateway::applySettings: versions only rise. */
inline take(mine, candidate) {
#ifdef TAKE_COPY
    if
    :: candidate != 0 -> assert(candidate >= mine); mine = candidate
    :: else -> skip
    fi
#else
    if
    :: candidate > mine -> mine = candidate
    :: else -> skip
    fi
#endif
}

/* KeyedTopicFollower: reads on behind the position, or all where it is of another era. */
inline readStore(ownVersion, ownEra, ownNext, ownProven) {
    byte answerEra;
    byte answerEnd;
    byte answerVersion;
    bool wasOver;
    /* The store looks at its log while the read is under way. */
    atomic {
        wasOver = isOver;
        answerEra = era;
        answerEnd = end;
#ifdef OFFSET_ALONE
        answerVersion = (ownEra == 0 || ownNext > end -> log[end - 1] : (ownNext < end -> log[end - 1] : 0))
#else
        answerVersion = (ownEra != era || ownNext != end -> log[end - 1] : 0)
#endif
    }
    /* An answer from before the return may arrive after one from then: it counts as none. */
    atomic {
        if
        :: answerEra < ownEra -> skip
        :: else ->
            ownEra = answerEra;
            ownNext = answerEnd;
            take(ownVersion, answerVersion);
            /* Nothing is newer than what was read. */
            ownProven = ownProven || wasOver;
            assert(!wasOver || ownVersion == newest)
        fi
    }
}

active proctype Relay() {
    byte round = 0;
    do
    :: round < 4 ->
        readStore(relayVersion, relayEra, relayNext, relayProven);
        if
        :: nfull(told) -> told ! relayVersion, relayEra, relayNext
        :: full(told) -> skip
        fi;
        round++
    :: else -> break
    od
}

/* Is told, and asks the store whether it has more than that. */
active proctype Other() {
    byte version;
    byte toldEra;
    byte toldNext;
    byte round = 0;
    bool wasOver;
    do
    :: round < 4 && nempty(told) ->
        told ? version, toldEra, toldNext;
        atomic {
            take(otherVersion, version);
            if
#ifdef TELL_OFFSET
            :: toldNext > otherNext -> otherNext = toldNext; otherEra = era
#else
            :: toldEra > otherEra || (toldEra == otherEra && toldNext > otherNext) -> otherEra = toldEra; otherNext = toldNext
#endif
            :: else -> skip
            fi
        };
        /* StoreClient::end: the same position proves that nothing is newer. */
        atomic {
            wasOver = isOver;
            if
#ifdef OFFSET_ALONE
            :: otherNext == end -> otherProven = true; assert(!wasOver || otherVersion == newest)
#else
            :: otherEra == era && otherNext == end -> otherProven = true; assert(!wasOver || otherVersion == newest)
#endif
            :: else -> skip
            fi
        };
        round++
    :: empty(told) || round == 4 -> break
    od
}
