/* A store that is restored from a backup which lacks its last record.
 *
 * The log contains configurations, represented by their versions. A relay reads the log, and a
 * peer learns configurations from the relay. At most once, at any moment, the store loses its newest
 * record and increments its era. The operator then writes the lost record again or a newer
 * configuration, so a different record may follow at an offset that was read before. A read may take
 * any time, and a response from before the restore may arrive after it. docs/design/platform.md maps
 * each step to the function that implements it.
 *
 * Asserted: no daemon reverts to an older version. A daemon that concludes from a read or a check of
 * the log's end, made after the last record was written, that nothing is newer has the newest version.
 *
 * Faulty variants, for each of which spin must find a violation:
 *   -DOFFSET_ALONE   positions consist of an offset without the era
 *   -DTAKE_COPY      the backup's older configuration replaces the one in force
 *   -DTELL_OFFSET    daemons send one another offsets without the era
 */
#define MAX_RECORDS 3

byte log[MAX_RECORDS + 1] = 1;
byte end = 1;
byte era = 1;
bool wasRestored = false;
/* The version written last, and whether the operator has finished writing. */
byte newestVersion = 1;
bool isWritingFinished = false;

/* Per daemon: its version, the position that it reads next, and whether it has concluded that
 * nothing is newer. */
byte relayVersion = 0;
byte relayEra = 0;
byte relayNext = 0;
bool relayProven = false;

byte peerVersion = 0;
byte peerEra = 0;
byte peerNext = 0;
bool peerProven = false;

/* The relay's version, and the era and offset of the position after it. */
chan updates = [1] of { byte, byte, byte };

active proctype Operator() {
    /* A second configuration, which the store may lose. */
    atomic { log[end] = 2; end++; newestVersion = 2 }
    if
    :: atomic { end--; era++; wasRestored = true }
       if
       /* The lost record is written again, */
       :: atomic { log[end] = 2; end++ }
       /* or a newer one is written at the same offset or at the next one. */
       :: atomic { log[end] = 3; end++; newestVersion = 3 }
       :: atomic { log[end] = 2; end++; log[end] = 3; end++; newestVersion = 3 }
       fi
    :: skip
    fi
    isWritingFinished = true
}

/* Models Gateway::applySettings: versions only increase. */
inline applyVersion(current, candidate) {
#ifdef TAKE_COPY
    if
    :: candidate != 0 -> assert(candidate >= current); current = candidate
    :: else -> skip
    fi
#else
    if
    :: candidate > current -> current = candidate
    :: else -> skip
    fi
#endif
}

/* Models KeyedTopicFollower: reads from the position on, or the whole log if the position is from
 * another era. */
inline readStore(ownVersion, ownEra, ownNext, ownProven) {
    byte answerEra;
    byte answerEnd;
    byte answerVersion;
    bool wasWritingFinished;
    /* The store evaluates the read at some moment while it is in progress. */
    atomic {
        wasWritingFinished = isWritingFinished;
        answerEra = era;
        answerEnd = end;
#ifdef OFFSET_ALONE
        answerVersion = (ownEra == 0 || ownNext > end -> log[end - 1] : (ownNext < end -> log[end - 1] : 0))
#else
        answerVersion = (ownEra != era || ownNext != end -> log[end - 1] : 0)
#endif
    }
    /* A response from before the restore may arrive after one from after it, and is ignored. */
    atomic {
        if
        :: answerEra < ownEra -> skip
        :: else ->
            ownEra = answerEra;
            ownNext = answerEnd;
            applyVersion(ownVersion, answerVersion);
            /* If the operator had finished writing, nothing is newer than what was read. */
            ownProven = ownProven || wasWritingFinished;
            assert(!wasWritingFinished || ownVersion == newestVersion)
        fi
    }
}

active proctype Relay() {
    byte round = 0;
    do
    :: round < 4 ->
        readStore(relayVersion, relayEra, relayNext, relayProven);
        if
        :: nfull(updates) -> updates ! relayVersion, relayEra, relayNext
        :: full(updates) -> skip
        fi;
        round++
    :: else -> break
    od
}

/* Receives the relay's version and checks the end of the store's log for newer records. */
active proctype Peer() {
    byte version;
    byte receivedEra;
    byte receivedNext;
    byte round = 0;
    bool wasWritingFinished;
    do
    :: round < 4 && nempty(updates) ->
        updates ? version, receivedEra, receivedNext;
        atomic {
            applyVersion(peerVersion, version);
            if
#ifdef TELL_OFFSET
            :: receivedNext > peerNext -> peerNext = receivedNext; peerEra = era
#else
            :: receivedEra > peerEra || (receivedEra == peerEra && receivedNext > peerNext) -> peerEra = receivedEra; peerNext = receivedNext
#endif
            :: else -> skip
            fi
        };
        /* Models StoreClient::end: an equal position proves that nothing is newer. */
        atomic {
            wasWritingFinished = isWritingFinished;
            if
#ifdef OFFSET_ALONE
            :: peerNext == end -> peerProven = true; assert(!wasWritingFinished || peerVersion == newestVersion)
#else
            :: peerEra == era && peerNext == end -> peerProven = true; assert(!wasWritingFinished || peerVersion == newestVersion)
#endif
            :: else -> skip
            fi
        };
        round++
    :: empty(updates) || round == 4 -> break
    od
}
