/* Freshness of a configuration that is confirmed through another daemon, and revocation of a key.
 *
 * The store holds configurations with a key (versions 1 and 2) until an operator revokes the
 * key (version 3). A read returns one of the missing records, and the end of the topic; the latest
 * records are returned whole. One daemon, the relay, reads the store; another one, the querier, cannot
 * reach the store and queries the relay. Messages may be delayed, lost and reordered. A read
 * may take any time, and the store may evaluate it at any moment in between.
 * docs/design/platform.md maps each step to the function that implements it.
 *
 * Asserted whenever the querier serves a request with the key: the key was not revoked
 * longer than BOUND ago.
 *
 * Faulty variants, for each of which spin must find a violation:
 *   -DPROVE_ON_ARRIVAL   dates a confirmation by the arrival of the relay's response
 *   -DANSWER_EARLY       responds from a read that was sent before the query arrived
 *   -DREAD_ON_ARRIVAL    dates a read by the arrival of the store's response
 *   -DGO_BACK            replaces a configuration by an older one
 *   -DCHECK_ONCE         does not check the age again after the first time
 *   -DPROVE_BY_PART      takes a read that returned a part of the missing records for a proof
 */
#define LAST_TIME 4
#define BOUND 1
#define WITH_KEY 1
#define WITHOUT_KEY 3

byte now = 0;
byte storedVersion = WITH_KEY;
byte revokedAt = 0;

byte relayVersion = 0;
byte relayProvenAt = 0;
bool relayHasVersion = false;

byte querierVersion = 0;
byte querierProvenAt = 0;
bool querierHasVersion = false;
bool wasFresh = false;

/* The time at which the querier sent its query. */
chan queries = [1] of { byte };
/* The time of the query, and the version that the relay holds. */
chan responses = [2] of { byte, byte };

active proctype Clock() {
    do
    :: now < LAST_TIME -> now++
    :: else -> break
    od
}

active proctype Operator() {
    storedVersion = WITH_KEY + 1;
    atomic { storedVersion = WITHOUT_KEY; revokedAt = now }
}

/* Models KeyedTopicFollower, TopicRead and SettingsFreshness. */
active proctype Reader() {
    byte sentAt;
    byte readVersion;
    byte end;
    bool readsLatest = true;
    do
    :: sentAt = now;
       atomic {
           end = storedVersion;
           readVersion = (readsLatest || relayVersion + 1 >= end -> end : relayVersion + 1)
       }
       atomic {
           if
#ifdef PROVE_BY_PART
           :: true ->
#else
           :: readVersion == end ->
#endif
           relayVersion = (readVersion > relayVersion -> readVersion : relayVersion);
#ifdef READ_ON_ARRIVAL
           relayProvenAt = now;
#else
           relayProvenAt = sentAt;
#endif
           relayHasVersion = true;
           readsLatest = false
           :: else -> readsLatest = true
           fi;
           sentAt = 0;
           readVersion = 0;
           end = 0
       }
    od
}

/* Models StateExchange::receive of a query, and StateExchange::localStateConfirmed. */
active proctype Responder() {
    byte queriedAt;
    byte arrivedAt;
    do
    :: atomic { queries?queriedAt -> arrivedAt = now }
       do
#ifdef ANSWER_EARLY
       :: atomic { relayHasVersion && nfull(responses) -> responses!queriedAt, relayVersion; break }
#else
       :: atomic { relayHasVersion && relayProvenAt >= arrivedAt && nfull(responses) -> responses!queriedAt, relayVersion; break }
#endif
       /* The query is dropped after waiting too long. */
       :: break
       od;
       atomic { queriedAt = 0; arrivedAt = 0 }
    od
}

/* Models StateExchange::queryPeer and StateExchange::handleResponse. */
active proctype Querier() {
    byte queriedAt;
    byte version;
    do
    :: atomic { nfull(queries) -> queries!now }
    :: atomic {
           responses?queriedAt, version ->
#ifdef GO_BACK
           querierVersion = version;
#else
           querierVersion = (version > querierVersion -> version : querierVersion);
#endif
#ifdef PROVE_ON_ARRIVAL
           querierProvenAt = now;
#else
           querierProvenAt = (queriedAt > querierProvenAt -> queriedAt : querierProvenAt);
#endif
           querierHasVersion = true;
           queriedAt = 0;
           version = 0
       }
    od
}

/* Models Gateway::areKeysFresh, which is checked before each send to an upstream. */
active proctype RequestHandler() {
    do
    :: atomic {
           querierHasVersion && querierVersion < WITHOUT_KEY ->
#ifdef CHECK_ONCE
           wasFresh = wasFresh || now - querierProvenAt <= BOUND;
#else
           wasFresh = now - querierProvenAt <= BOUND;
#endif
           if
           :: wasFresh -> assert(!(storedVersion == WITHOUT_KEY && now > revokedAt + BOUND))
           :: else -> skip
           fi
       }
    od
}

active proctype Network() {
    byte queriedAt;
    byte version;
    do
    /* A response is lost. A lost query is modelled by the responder dropping it. */
    :: atomic { responses?queriedAt, version -> queriedAt = 0; version = 0 }
    /* A response is overtaken by the next one. */
    :: atomic { responses?queriedAt, version -> responses!queriedAt, version; queriedAt = 0; version = 0 }
    od
}
