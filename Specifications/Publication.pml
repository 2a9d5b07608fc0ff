/* Publication of settings over an append-only log that forgets.
 *
 * Two operators publish changes that were made from the revision they know; a
 * snapshotter repeats accepted state, possibly late; the log drops its oldest
 * records; readers read, restart with nothing remembered, and take state from one
 * another. docs/design/settings.md ties each step to its function.
 *
 * Broken variants, each of which spin has to refute:
 *   -DNO_BASE_CHECK     accepts a change from any revision
 *   -DSNAPSHOT_BLIND    takes a snapshot without replaying what stands before it
 *   -DPEER_ALWAYS       takes a peer's state even when it is older
 */
#define READERS 2
#define LOGSIZE 6
#define CHANGE 1
#define SNAPSHOT 2
#define NONE 255

byte recordKind[LOGSIZE];
/* For a change, the base; for a snapshot, the revision. */
byte recordRevision[LOGSIZE];
byte recordContent[LOGSIZE];
/* For a snapshot: all before this is taken into account. */
byte recordUpTo[LOGSIZE];
byte logLength = 0;
byte logFirst = 0;

/* What a reader of the whole log, from its first record on, accepts. */
byte trueRevision = 0;
byte trueContent[LOGSIZE];

byte knownRevision[READERS];
byte knownContent[READERS];
byte knownUpTo[READERS];
byte position[READERS];
byte runStart[READERS];
byte applied[READERS];

inline publishRecord(kind, revision, content, upTo) {
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

inline applyChange(r, at) {
    if
#ifdef NO_BASE_CHECK
    :: knownRevision[r] != NONE -> knownRevision[r]++; knownContent[r] = recordContent[at]
#else
    :: knownRevision[r] != NONE && recordRevision[at] == knownRevision[r] -> knownRevision[r]++; knownContent[r] = recordContent[at]
#endif
    :: else -> skip
    fi
}

/* What is accepted is the truth of its revision, and never reverts unless the
 * reader starts anew. */
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

/* PublicationReader::apply, for one record. */
inline readOne(r) {
    d_step {
        if
        :: position[r] < logFirst ->
            /* PublicationReader::skipTo */
            knownRevision[r] = NONE; position[r] = logFirst; runStart[r] = logFirst;
            /* What the daemon serves from stays in force meanwhile; see SettingsFollower. */
            applied[r] = 0
        :: else -> skip
        fi;
        if
        :: position[r] == 0 && logFirst == 0 && knownRevision[r] == NONE -> knownRevision[r] = 0; knownContent[r] = 0
        :: else -> skip
        fi;
        if
        :: position[r] < logLength ->
            at = position[r];
            position[r]++;
            if
            :: recordKind[at] == CHANGE -> applyChange(r, at)
            :: recordKind[at] == SNAPSHOT && knownRevision[r] == NONE && recordUpTo[at] >= runStart[r] ->
                knownRevision[r] = recordRevision[at];
                knownContent[r] = recordContent[at];
#ifndef SNAPSHOT_BLIND
                /* PublicationReader::applyPendingChanges */
                k = recordUpTo[at];
                do
                :: k < at ->
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
        at = 0;
        checkAccepted(r)
    }
}

proctype Reader(byte r) {
    byte at, k, other;
    byte restarts = 0;
    other = 1 - r;
    do
    :: readOne(r)
    /* A restart forgets everything, also what was applied. */
    :: atomic { restarts < 1 -> restarts++; knownRevision[r] = NONE; position[r] = 0; runStart[r] = 0; applied[r] = 0 }
    /* PublicationReader::adopt */
    :: d_step { knownRevision[other] != NONE &&
#ifdef PEER_ALWAYS
            true
#else
            (knownRevision[r] == NONE || (knownUpTo[other] > position[r] && knownRevision[other] >= knownRevision[r]))
#endif
            ->
            knownRevision[r] = knownRevision[other];
            knownContent[r] = knownContent[other];
            knownUpTo[r] = knownUpTo[other];
            position[r] = knownUpTo[other];
            runStart[r] = position[r];
            checkAccepted(r)
        }
    od
}

/* An operator, whose knowledge of what is in force may be stale when it appends. */
proctype Operator(byte content) {
    byte base;
    atomic { knownRevision[0] != NONE -> base = knownRevision[0] }
    atomic { publishRecord(CHANGE, base, content, 0) }
}

/* A daemon that repeats what it knows; its append may take effect later. */
proctype Snapshotter() {
    byte revision, content, upTo;
    byte count = 0;
    do
    :: count < 2 ->
        atomic { knownRevision[1] != NONE -> revision = knownRevision[1]; content = knownContent[1]; upTo = knownUpTo[1] }
        atomic { publishRecord(SNAPSHOT, revision, content, upTo); count++ }
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
