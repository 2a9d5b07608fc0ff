/* The version at which a stream goes on after daemons were killed.
 *
 * Upstreams of a second version join, those of the first one leave, and ones of a third join. One
 * stream is begun by a daemon, which records its version at the keepers and, in the next batch, in the store, unless
 * the daemon knows of one version only. A stream has a keeper in each hall: daemon 0 in one, and in the other daemon 1, or
 * daemon 2 once daemon 1 has left for good. Daemon 0's hall may be cut off from the store and the others; upstreams whose records lapse meanwhile go on
 * serving it. Any daemon may be killed at any time, also all of them before the batch is written; a daemon that starts reads
 * the versions of late and the batches from the store before it serves, and goes on reading batches for a while.
 *
 * Time advances in ticks. Only ages are kept, up to OLD, which means older than any stream that can be taken up. Lists of
 * upstreams are up to a tick old, those of a hall that is cut off any age. A daemon that has the record need not give it to a
 * keeper that starts, and any daemon's reply may be lost.
 *
 * Asserted: a stream that is taken up goes on at the version that began it, or is refused.
 * docs/design/stream-versions.md describes the rules; StreamOriginExchange and VersionHistory implement them.
 *
 * There are two runs. Without a define, three versions follow each other and daemon 0's hall may be cut off; daemon 2 does not run.
 * With -DLEAVES, a second version joins, daemon 1 may leave for good and is the only keeper before, and no hall is cut off.
 *
 * Faulty variants, for each of which spin must find a violation:
 *   -DSTARTED_KEEPERS   keepers that have just started count as having no record
 *   -DPRESENT_KEEPERS   with LEAVES, only the keepers by the present list of daemons are asked
 *   -DEARLIER_LISTS     a list of upstreams from before the keepers' start counts as proof of one version
 *   -DFORGET_LAPSED     a version whose upstreams have lapsed is forgotten like one whose upstreams have announced to leave
 *   -DHALL_WITHOUT_KEEPER   a hall that is cut off may have no keeper, so that records of what it begins reach none
 *   -DEQUAL_MEMORY      a version that has left is forgotten as soon as one that has joined counts as known before all streams
 *   -DBATCHES_PROVE     a daemon that has read the batches at its start counts as having all records
 */
#define DAEMONS 3
#define VERSIONS 3
#ifdef PRESENT_KEEPERS
#define LEAVES
#endif
/* A stream can be taken up up to this age. A version that was seen before is older than all such streams. */
#define MEMORY 1
/* A version that has left is remembered up to this age: for a tick longer, since lists differ by a tick. */
#ifdef EQUAL_MEMORY
#define VERSION_MEMORY MEMORY
#else
#define VERSION_MEMORY (MEMORY + 1)
#endif
#define OLD 3
/* A daemon whose list was confirmed longer ago names no version until it has restored what it knows of them from the store. */
#define LIST_LAG 1
/* Later batches are read up to this age of the daemon. */
#define BATCH_READING 1
/* The two runs differ, as all events in one run give too many states. */
#ifdef LEAVES
#define LAST_PHASE 1
#define HALL_WITHOUT_KEEPER
#else
#define LAST_PHASE 3
#endif

#define BIT(version) (1 << (version))
#define AT(daemon, version) ((daemon) * VERSIONS + (version))

/* The upstreams' topic is represented by its end: the versions with records, and those that have had some. */
#define LISTED(phase) ((phase) == 0 -> 1 : ((phase) == 1 -> 3 : ((phase) == 2 -> 2 : 6)))
#define GONE(phase) ((phase) < 2 -> 0 : 1)
byte phase = 0;
byte lapsed = 0;
byte goneAge[VERSIONS] = OLD;
bool isBatchWritten = false;

/* The version that began the stream, as a bit; 0 before. */
byte origin = 0;
byte streamAge = 0;
/* The daemon that has begun the stream without a record, plus one. */
byte unrecordedBy = 0;

bool isCutOff = false;
bool wasCutOff = false;
bool hasLeft = false;
byte leftAge = 0;

/* Of each daemon: whether it serves, which it does once it has read the store, and since when it has run. */
bool hasRead[DAEMONS] = true;
byte startAge[DAEMONS] = OLD;
/* Its list of upstreams, and when that was last confirmed. */
byte position[DAEMONS] = 0;
byte listAge[DAEMONS] = 0;
/* When it saw versions for the first time, and those that have left for the last time. */
byte firstSeenAge[DAEMONS * VERSIONS] = OLD;
byte vanishedAge[DAEMONS * VERSIONS] = OLD;
/* The age of a restored history that showed one version, plus one; 0 if there is none. */
byte restoredUniform[DAEMONS] = 0;
bool hasRecord[DAEMONS] = false;
/* The record is in the batch that it writes next. */
bool isInBatch[DAEMONS] = false;

#ifdef LEAVES
#define IS_RUN(daemon) true
#define BEGINS(daemon) ((daemon) != 1)
#else
#define IS_RUN(daemon) ((daemon) != 2)
#define BEGINS(daemon) true
#endif
#define IS_CUT(daemon) (isCutOff && (daemon) == 0)
#define IS_MEMBER(daemon) (!(hasLeft && (daemon) == 1))
#define CONNECTED(one, other) ((one) == (other) || !(IS_CUT(one) || IS_CUT(other)))
#define KEEPER (hasLeft -> 2 : 1)
#define CAN_BE_TAKEN_UP (origin != 0 && streamAge <= MEMORY)
#define IS_SINGLE(versions) ((versions) == 1 || (versions) == 2 || (versions) == 4)

#ifdef FORGET_LAPSED
#define KNOWN_LAPSED(daemon) 0
#define STORED_LAPSED 0
#else
#define KNOWN_LAPSED(daemon) (lapsed & GONE(position[daemon]))
#define STORED_LAPSED lapsed
#endif

#define IS_RECENT(daemon, version) (((LISTED(position[daemon]) | KNOWN_LAPSED(daemon)) & BIT(version)) != 0 || vanishedAge[AT(daemon, version)] <= VERSION_MEMORY)
#define RECENT(daemon) ((IS_RECENT(daemon, 0) -> 1 : 0) | (IS_RECENT(daemon, 1) -> 2 : 0) | (IS_RECENT(daemon, 2) -> 4 : 0))
#define NAMES_VERSIONS(daemon) (hasRead[daemon] && listAge[daemon] <= LIST_LAG)
#define IS_UNIFORM(daemon) (NAMES_VERSIONS(daemon) && IS_SINGLE(RECENT(daemon)))
#define UNIFORM(daemon) (IS_UNIFORM(daemon) -> RECENT(daemon) : 0)
#define LONG_KNOWN(daemon) ((IS_RECENT(daemon, 0) && firstSeenAge[AT(daemon, 0)] > MEMORY -> 1 : 0) | (IS_RECENT(daemon, 1) && firstSeenAge[AT(daemon, 1)] > MEMORY -> 2 : 0) | (IS_RECENT(daemon, 2) && firstSeenAge[AT(daemon, 2)] > MEMORY -> 4 : 0))
#define WITHOUT_RECORDS(daemon) (!NAMES_VERSIONS(daemon) -> 0 : (IS_UNIFORM(daemon) -> RECENT(daemon) : (IS_SINGLE(LONG_KNOWN(daemon)) -> LONG_KNOWN(daemon) : 0)))
/* A stream that began before a restored history which shows one version needs no record. */
#define KEEPS_AGE(daemon) (restoredUniform[daemon] != 0 -> OLD : startAge[daemon])

inline recordStream(daemon) {
    isInBatch[daemon] = true;
    hasRecord[KEEPER] = hasRecord[KEEPER] || CONNECTED(daemon, KEEPER);
#ifndef HALL_WITHOUT_KEEPER
    hasRecord[0] = hasRecord[0] || CONNECTED(daemon, 0);
#endif
    unrecordedBy = 0
}

inline kill(daemon) {
    d_step {
        hasRead[daemon] = false;
        startAge[daemon] = 0;
        position[daemon] = 0;
        listAge[daemon] = 0;
        restoredUniform[daemon] = 0;
        hasRecord[daemon] = false;
        isInBatch[daemon] = false;
        for (i : 0 .. VERSIONS - 1) {
            firstSeenAge[AT(daemon, i)] = OLD;
            vanishedAge[AT(daemon, i)] = OLD
        }
        if
        :: unrecordedBy == daemon + 1 -> unrecordedBy = 0
        :: else
        fi;
        i = 0
    }
}

/* Reads the versions of late and the batches, after a start, or after a time in which changes may have been missed. */
inline restore(daemon) {
    restoredUniform[daemon] = 0;
    position[daemon] = phase;
    for (i : 0 .. VERSIONS - 1) {
        if
        :: ((LISTED(phase) | STORED_LAPSED) & BIT(i)) != 0 || goneAge[i] <= VERSION_MEMORY ->
            firstSeenAge[AT(daemon, i)] = 0;
            vanishedAge[AT(daemon, i)] = ((LISTED(phase) & BIT(i)) != 0 -> OLD : 0)
        :: else ->
            firstSeenAge[AT(daemon, i)] = OLD;
            vanishedAge[AT(daemon, i)] = OLD
        fi
    }
    hasRead[daemon] = true;
    if
    :: IS_UNIFORM(daemon) ->
        restoredUniform[daemon] = 1;
        for (i : 0 .. VERSIONS - 1) {
            firstSeenAge[AT(daemon, i)] = OLD
        }
    :: else
    fi;
    hasRecord[daemon] = hasRecord[daemon] || isBatchWritten;
#ifdef BATCHES_PROVE
    startAge[daemon] = OLD;
#endif
}

inline readChanges(daemon) {
    for (i : 0 .. VERSIONS - 1) {
        if
        :: ((LISTED(phase) | GONE(phase)) & BIT(i)) != 0 && ((LISTED(position[daemon]) | GONE(position[daemon])) & BIT(i)) == 0 -> firstSeenAge[AT(daemon, i)] = 0
        :: else
        fi;
        if
        :: (GONE(phase) & BIT(i)) != 0 && (GONE(position[daemon]) & BIT(i)) == 0 -> vanishedAge[AT(daemon, i)] = 0
        :: else
        fi
    }
    position[daemon] = phase;
    if
    :: unrecordedBy == daemon + 1 && !IS_UNIFORM(daemon) -> recordStream(daemon)
    :: else
    fi
}

inline readStore(daemon) {
    d_step {
        if
        :: hasRead[daemon] && listAge[daemon] <= LIST_LAG -> readChanges(daemon)
        :: else -> restore(daemon)
        fi;
        listAge[daemon] = 0;
        i = 0
    }
}

#define IS_SERVED(daemon, version) (hasRead[daemon] && (LISTED(position[daemon]) & BIT(version)) != 0 && ((GONE(phase) & BIT(version)) == 0 || (isCutOff && (lapsed & BIT(version)) != 0)))

inline begin(daemon, version) {
    d_step {
        origin = BIT(version);
        hasRecord[daemon] = true;
        if
        :: IS_UNIFORM(daemon) -> unrecordedBy = daemon + 1
        :: else -> recordStream(daemon)
        fi
    }
}

proctype Daemon(byte self) {
    byte i = 0;
end:
    do
    :: atomic { IS_MEMBER(self) && !IS_CUT(self) && (origin == 0 || CAN_BE_TAKEN_UP) && (!hasRead[self] || position[self] != phase || listAge[self] != 0) -> readStore(self) }
    :: atomic { isInBatch[self] && !IS_CUT(self) -> isInBatch[self] = false; isBatchWritten = true }
    :: atomic { IS_MEMBER(self) && CAN_BE_TAKEN_UP && isBatchWritten && !hasRecord[self] && hasRead[self] && !IS_CUT(self) && startAge[self] <= BATCH_READING -> hasRecord[self] = true }
    :: atomic { IS_MEMBER(self) && (origin == 0 || CAN_BE_TAKEN_UP) && hasRead[self] -> kill(self) }
    :: atomic { origin == 0 && BEGINS(self) && IS_SERVED(self, 0) -> begin(self, 0) }
    :: atomic { origin == 0 && BEGINS(self) && IS_SERVED(self, 1) -> begin(self, 1) }
    :: atomic { origin == 0 && BEGINS(self) && IS_SERVED(self, 2) -> begin(self, 2) }
    od
}

/* Whether a record may exist of a stream that began at that age or later: a keeper of that time has left, does not answer, or has
 * not kept all records since. */
#define LACKS(daemon, age) ((answers & BIT(daemon)) == 0 || !(KEEPS_AGE(daemon) > (age) || KEEPS_AGE(daemon) == OLD))
#ifdef HALL_WITHOUT_KEEPER
#define LACKS_IN_OTHER_HALL(age) false
#define HAS_REPLY_OF_OTHER_HALL true
#else
#define LACKS_IN_OTHER_HALL(age) LACKS(0, age)
#define HAS_REPLY_OF_OTHER_HALL ((answers & 1) != 0)
#endif
#ifdef PRESENT_KEEPERS
#define HAS_EARLIER_KEEPER(age) false
#else
#define HAS_EARLIER_KEEPER(age) (hasLeft && leftAge <= (age))
#endif
#define MAY_HAVE_RECORD(asker, age) (startAge[asker] < (age) || HAS_EARLIER_KEEPER(age) || LACKS(KEEPER, age) || LACKS_IN_OTHER_HALL(age))

/* A list of that age, not older than MEMORY. */
#ifdef EARLIER_LISTS
#define PROVES(asker, daemon) ((answers & BIT(daemon)) != 0 && IS_UNIFORM(daemon))
#else
#define PROVES(asker, daemon) ((answers & BIT(daemon)) != 0 && IS_UNIFORM(daemon) && listAge[daemon] < OLD && !MAY_HAVE_RECORD(asker, listAge[daemon]))
#endif

#ifdef STARTED_KEEPERS
#define NONE_HAS_RECORD(asker) ((answers & BIT(KEEPER)) != 0 && HAS_REPLY_OF_OTHER_HALL && !HAS_EARLIER_KEEPER(MEMORY))
#else
#define NONE_HAS_RECORD(asker) (!MAY_HAVE_RECORD(asker, (restoredUniform[asker] != 0 && WITHOUT_RECORDS(asker) == named -> restoredUniform[asker] - 1 : MEMORY)))
#endif

/* The daemon takes the stream up, and gets the replies of these daemons. */
inline takeUp(asker) {
    d_step {
        for (i : 0 .. DAEMONS - 1) {
            if
            :: (answers & BIT(i)) != 0 ->
                named = named | UNIFORM(i) | WITHOUT_RECORDS(i);
                isRecorded = isRecorded || hasRecord[i];
                hasSeveral = hasSeveral || (hasRead[i] && !IS_UNIFORM(i))
            :: else
            fi
        }
        if
        :: isRecorded || !IS_SINGLE(named) -> skip
        :: else ->
            /* The only version named is told by lists that prove it, or by the absence of a record. */
            assert(named == origin || hasSeveral || !(PROVES(asker, 0) || PROVES(asker, 1) || PROVES(asker, 2)));
            assert(named == origin || hasSeveral || !(IS_UNIFORM(asker) && position[asker] == phase));
            assert(named == origin || !NONE_HAS_RECORD(asker))
        fi;
        named = 0;
        isRecorded = false;
        hasSeveral = false;
        answers = 0;
        i = 0
    }
}

proctype Callers() {
    byte i = 0;
    byte asker = 0;
    byte answers = 0;
    byte named = 0;
    bool isRecorded = false;
    bool hasSeveral = false;
end:
    do
    :: atomic {
        CAN_BE_TAKEN_UP ->
        if
        :: hasRead[0] -> asker = 0
        :: IS_MEMBER(1) && hasRead[1] -> asker = 1
        :: hasRead[2] -> asker = 2
        fi;
        answers = BIT(asker);
        if
        :: CONNECTED(asker, 0) -> answers = answers | 1
        :: skip
        fi;
        if
        :: IS_MEMBER(1) && CONNECTED(asker, 1) -> answers = answers | 2
        :: skip
        fi;
        if
        :: CONNECTED(asker, 2) -> answers = answers | 4
        :: skip
        fi;
        takeUp(asker);
        asker = 0
       }
    od
}

#define GROW(age) age = (age < OLD -> age + 1 : OLD)
/* Daemons that reach the store write their batch and learn of a change within a tick. A list without a change counts as confirmed. */
#define IS_UP_TO_DATE(daemon) (!IS_MEMBER(daemon) || !IS_RUN(daemon) || IS_CUT(daemon) || (hasRead[daemon] && !isInBatch[daemon] && (listAge[daemon] == 0 || position[daemon] == phase)))

proctype Clock() {
    byte i = 0;
end:
    do
    :: atomic {
        (origin == 0 || CAN_BE_TAKEN_UP) && IS_UP_TO_DATE(0) && IS_UP_TO_DATE(1) && IS_UP_TO_DATE(2) ->
        d_step {
            for (i : 0 .. DAEMONS - 1) {
                GROW(startAge[i]);
                listAge[i] = (IS_CUT(i) || position[i] != phase -> (listAge[i] < OLD -> listAge[i] + 1 : OLD) : listAge[i]);
                restoredUniform[i] = (restoredUniform[i] == 0 -> 0 : (restoredUniform[i] <= OLD -> restoredUniform[i] + 1 : OLD + 1))
            }
            for (i : 0 .. DAEMONS * VERSIONS - 1) {
                GROW(firstSeenAge[i]);
                GROW(vanishedAge[i])
            }
            for (i : 0 .. VERSIONS - 1) {
                GROW(goneAge[i])
            }
            if
            :: origin != 0 -> GROW(streamAge)
            :: else
            fi;
            if
            :: hasLeft -> GROW(leftAge)
            :: else
            fi;
            i = 0
        }
       }
    od
}

proctype Platform() {
end:
    do
    :: atomic { (origin == 0 || CAN_BE_TAKEN_UP) && phase < LAST_PHASE ->
        phase++;
        goneAge[0] = (phase == 2 -> 0 : goneAge[0]);
        /* Records lapse if nobody who serves at the upstreams reaches the store. */
        if
        :: isCutOff && phase == 2 -> lapsed = 1
        :: skip
        fi
       }
#ifdef LEAVES
    :: atomic { !hasLeft && (origin == 0 || CAN_BE_TAKEN_UP) -> hasLeft = true; hasRecord[1] = false; hasRead[1] = false; isInBatch[1] = false; position[1] = 0; startAge[1] = OLD; listAge[1] = 0 }
#else
    :: atomic { !isCutOff && !wasCutOff && (origin == 0 || CAN_BE_TAKEN_UP) -> isCutOff = true; wasCutOff = true }
    :: atomic { isCutOff -> isCutOff = false }
#endif
    od
}

init {
    atomic {
        run Daemon(0);
        run Daemon(1);
#ifdef LEAVES
        run Daemon(2);
#else
        hasRead[2] = false;
#endif
        run Callers();
        run Clock();
        run Platform()
    }
}
