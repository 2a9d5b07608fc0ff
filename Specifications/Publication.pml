/* Publication of settings through an append-only log with limited retention.
 *
 * Two operators publish changes based on the revision that they know. A snapshotter
 * appends snapshots of accepted state, possibly late. The log discards its oldest
 * records. Readers read the log, restart without any state, and adopt state from one
 * another. docs/design/settings.md maps each step to the function that implements it.
 *
 * Faulty variants, for each of which spin must find a violation:
 *   -DNO_BASE_CHECK     accepts a change that is based on any revision
 *   -DSNAPSHOT_BLIND    applies a snapshot without replaying the changes from its `upTo` offset on
 *   -DPEER_ALWAYS       adopts a peer's state even if it is older
 */
#define READERS 2
#define LOGSIZE 6
#define CHANGE 1
#define SNAPSHOT 2
#define NONE 255

byte recordKind[LOGSIZE];
/* The base revision of a change, or the revision of a snapshot. */
byte recordRevision[LOGSIZE];
byte recordContent[LOGSIZE];
/* For a snapshot: the state includes all records before this offset. */
byte recordUpTo[LOGSIZE];
byte logLength = 0;
byte logFirst = 0;

/* The state that a reader accepts if it reads the whole log from its first record. */
byte trueRevision = 0;
byte trueContent[LOGSIZE];

byte knownRevision[READERS];
byte knownContent[READERS];
byte knownUpTo[READERS];
byte position[READERS];
byte runStart[READERS];
byte applied[READERS];

inline appendRecord(kind, revision, content, upTo) {
    if
    :: logLength < LOGSIZE ->
        recordKind[logLength] = kind;
        recordRevision[logLength] = revision;
        recordContent[logLength] = content;
        recordUpTo[logLength] = upTo;
        logLength++;
        if
        :: kind == CHANGE && revision == trueRevision -> trueRevision++; trueContent[trueRevision] = content
        :: else -> skip
        fi
    :: else -> skip
    fi
}

inline applyChange(r, recordIndex) {
    if
#ifdef NO_BASE_CHECK
    :: knownRevision[r] != NONE -> knownRevision[r]++; knownContent[r] = recordContent[recordIndex]
#else
    :: knownRevision[r] != NONE && recordRevision[recordIndex] == knownRevision[r] -> knownRevision[r]++; knownContent[r] = recordContent[recordIndex]
#endif
    :: else -> skip
    fi
}

/* Asserts that accepted content is the true content of its revision, and that the revision never
 * decreases unless the reader starts over. */
inline checkAccepted(r) {
    if
    :: knownRevision[r] != NONE ->
        assert(knownRevision[r] <= trueRevision);
        assert(knownContent[r] == trueContent[knownRevision[r]]);
        assert(knownRevision[r] >= applied[r]);
        if
        :: knownRevision[r] > applied[r] -> applied[r] = knownRevision[r]
        :: else -> skip
        fi
    :: else -> skip
    fi
}

/* Models PublicationReader::apply for one record. */
inline readRecord(r) {
    d_step {
        if
        :: position[r] < logFirst ->
            /* PublicationReader::skipTo */
            knownRevision[r] = NONE; position[r] = logFirst; runStart[r] = logFirst;
            /* The settings that the daemon serves from stay in force meanwhile; see SettingsFollower. */
            applied[r] = 0
        :: else -> skip
        fi;
        if
        :: position[r] == 0 && logFirst == 0 && knownRevision[r] == NONE -> knownRevision[r] = 0; knownContent[r] = 0
        :: else -> skip
        fi;
        if
        :: position[r] < logLength ->
            recordIndex = position[r];
            position[r]++;
            if
            :: recordKind[recordIndex] == CHANGE -> applyChange(r, recordIndex)
            :: recordKind[recordIndex] == SNAPSHOT && knownRevision[r] == NONE && recordUpTo[recordIndex] >= runStart[r] ->
                knownRevision[r] = recordRevision[recordIndex];
                knownContent[r] = recordContent[recordIndex];
#ifndef SNAPSHOT_BLIND
                /* PublicationReader::applyPendingChanges */
                k = recordUpTo[recordIndex];
                do
                :: k < recordIndex ->
                    if
                    :: recordKind[k] == CHANGE -> applyChange(r, k)
                    :: else -> skip
                    fi;
                    k++
                :: else -> break
                od;
                k = 0
#endif
            :: else -> skip
            fi
        :: else -> skip
        fi;
        if
        :: knownRevision[r] != NONE -> knownUpTo[r] = position[r]
        :: else -> skip
        fi;
        recordIndex = 0;
        checkAccepted(r)
    }
}

proctype Reader(byte r) {
    byte recordIndex, k, peer;
    byte restarts = 0;
    peer = 1 - r;
    do
    :: readRecord(r)
    /* A restart loses all state, including what was applied. */
    :: atomic { restarts < 1 -> restarts++; knownRevision[r] = NONE; position[r] = 0; runStart[r] = 0; applied[r] = 0 }
    /* PublicationReader::adopt */
    :: d_step { knownRevision[peer] != NONE &&
#ifdef PEER_ALWAYS
            true
#else
            (knownRevision[r] == NONE || (knownUpTo[peer] > position[r] && knownRevision[peer] >= knownRevision[r]))
#endif
            ->
            knownRevision[r] = knownRevision[peer];
            knownContent[r] = knownContent[peer];
            knownUpTo[r] = knownUpTo[peer];
            position[r] = knownUpTo[peer];
            runStart[r] = position[r];
            checkAccepted(r)
        }
    od
}

/* An operator, whose known revision may be outdated by the time of the append. */
proctype Operator(byte content) {
    byte base;
    atomic { knownRevision[0] != NONE -> base = knownRevision[0] }
    atomic { appendRecord(CHANGE, base, content, 0) }
}

/* A daemon that appends snapshots of its state; an append may take effect later. */
proctype Snapshotter() {
    byte revision, content, upTo;
    byte count = 0;
    do
    :: count < 2 ->
        atomic { knownRevision[1] != NONE -> revision = knownRevision[1]; content = knownContent[1]; upTo = knownUpTo[1] }
        atomic { appendRecord(SNAPSHOT, revision, content, upTo); count++ }
    :: else -> break
    od
}

proctype Retention() {
    do
    :: atomic { logFirst < logLength -> logFirst++ }
    :: break
    od
}

init {
    atomic {
        knownRevision[0] = NONE;
        knownRevision[1] = NONE;
        run Reader(0);
        run Reader(1);
        run Operator(1);
        run Operator(2);
        run Snapshotter();
        run Retention()
    }
}
