/* Beliefs that are proven through other daemons, and keys that are taken away.
 *
 * The store holds a configuration with a key (version 1) until an operator takes the
 * key away (version 2). One daemon, the relay, reads the store; another one, which
 * cannot, asks it. Messages are delayed, lost and overtake one another; reads take
 * any time, and the store looks at its state at any moment while one is under way.
 * docs/design/platform.md ties each step to its function.
 *
 * Asserted wherever the asking daemon serves a request with the key: that it was not
 * taken away longer ago than the bound.
 *
 * Broken variants, each of which spin has to refute:
 *   -DPROVE_ON_ARRIVAL   takes the arrival of an answer for the time of its proof
 *   -DANSWER_EARLY       answers by a read that was sent before the ask arrived
 *   -DREAD_ON_ARRIVAL    takes the arrival of a read's answer for the time of its proof
 *   -DGO_BACK            takes an older configuration for a newer one
 *   -DCHECK_ONCE         serves without looking at the age again
 */
#define LATEST 4
#define BOUND 1
#define WITH_KEY 1
#define WITHOUT_KEY 2

byte now = 0;
byte stored = WITH_KEY;
byte removedAt = 0;

byte relayBelief = 0;
byte relayProvenAt = 0;
bool relayKnows = false;

byte askerBelief = 0;
byte askerProvenAt = 0;
bool askerKnows = false;
bool wasFresh = false;

/* The asker's time when it asked. */
chan asks = [1] of { byte };
/* The same time again, and the version that the relay believes. */
chan answers = [2] of { byte, byte };

active proctype Clock() {
    do
    :: now < LATEST -> now++
    :: else -> break
    od
}

active proctype Operator() {
    atomic { stored = WITHOUT_KEY; removedAt = now }
}

/* StoreClient::read and Gateway::takeSettings. */
active proctype Reader() {
    byte sentAt;
    byte view;
    do
    :: sentAt = now;
       view = stored;
       atomic {
           relayBelief = (view > relayBelief -> view : relayBelief);
#ifdef READ_ON_ARRIVAL
           relayProvenAt = now;
#else
           relayProvenAt = sentAt;
#endif
           relayKnows = true;
           sentAt = 0;
           view = 0
       }
    od
}

/* StateExchange::receive of an ask, and StateExchange::localStateConfirmed. */
active proctype Answerer() {
    byte stamp;
    byte arrivedAt;
    do
    :: atomic { asks?stamp -> arrivedAt = now }
       do
#ifdef ANSWER_EARLY
       :: atomic { relayKnows && nfull(answers) -> answers!stamp, relayBelief; break }
#else
       :: atomic { relayKnows && relayProvenAt >= arrivedAt && nfull(answers) -> answers!stamp, relayBelief; break }
#endif
       /* Forgotten: it has waited too long. */
       :: break
       od;
       atomic { stamp = 0; arrivedAt = 0 }
    od
}

/* StateExchange::queryPeer and StateExchange::handleResponse. */
active proctype Asker() {
    byte stamp;
    byte version;
    do
    :: atomic { nfull(asks) -> asks!now }
    :: atomic {
           answers?stamp, version ->
#ifdef GO_BACK
           askerBelief = version;
#else
           askerBelief = (version > askerBelief -> version : askerBelief);
#endif
#ifdef PROVE_ON_ARRIVAL
           askerProvenAt = now;
#else
           askerProvenAt = (stamp > askerProvenAt -> stamp : askerProvenAt);
#endif
           askerKnows = true;
           stamp = 0;
           version = 0
       }
    od
}

/* Gateway::areKeysFresh, before each send to an upstream. */
active proctype Caller() {
    do
    :: atomic {
           askerKnows && askerBelief == WITH_KEY ->
#ifdef CHECK_ONCE
           wasFresh = wasFresh || now - askerProvenAt <= BOUND;
#else
           wasFresh = now - askerProvenAt <= BOUND;
#endif
           if
           :: wasFresh -> assert(!(stored == WITHOUT_KEY && now > removedAt + BOUND))
           :: else -> skip
           fi
       }
    od
}

active proctype Network() {
    byte stamp;
    byte version;
    do
    /* Lost; a lost ask is one that the answerer forgets. */
    :: atomic { answers?stamp, version -> stamp = 0; version = 0 }
    /* Overtaken by the next one. */
    :: atomic { answers?stamp, version -> answers!stamp, version; stamp = 0; version = 0 }
    od
}
