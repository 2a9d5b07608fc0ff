#!/usr/bin/env bash
# Verifies the properties of the specifications with spin, and checks that spin finds a
# violation in each faulty variant, which shows that the check can fail.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check NAME EXPECTED MODEL PROPERTY [VARIANT]: EXPECTED is holds or refuted.
check() {
    local name=$1 expected=$2 model=$3 property=$4 variant=${5:-} found
    local directory=$work/$name-$property-${variant:-plain}
    mkdir -p "$directory"
    cp "Specifications/$model.pml" "$directory/model.pml"
    local run=(./pan -m1000000)
    local flags=(-O2 -DVECTORSZ=4096 -DCOLLAPSE)
    if [[ $property == assertions ]]; then
        flags+=(-DSAFETY)
    else
        run+=(-a -N "$property")
        # Liveness properties only hold under weak fairness, i.e. if no enabled process is
        # delayed forever (-f).
        [[ $property == answer || $property == freed ]] && run+=(-f) && flags+=(-DNFAIR=4)
    fi
    (cd "$directory" && spin -a ${variant:+-D$variant} model.pml >spin.log 2>&1 && gcc "${flags[@]}" -o pan pan.c 2>gcc.log && timeout 300 "${run[@]}" >pan.log 2>&1) || true
    if ! grep -q '^State-vector' "$directory/pan.log" || grep -q 'max search depth too small\|out of memory' "$directory/pan.log"; then
        found=incomplete
    elif grep -q 'errors: 0' "$directory/pan.log"; then
        found=holds
    else
        found=refuted
    fi
    local states
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$directory/pan.log" | head -1)
    echo "model=$model property=$property variant=${variant:-none} expected=$expected found=$found states=${states:-unknown}"
    [[ $found == "$expected" ]] || { tail -n 20 "$directory"/*.log >&2; return 1; }
}

check claims holds Claims once &
check claims holds Claims verdict &
check claims refuted Claims once RUN_BEFORE_SEEN &
check claims refuted Claims once FREE_ON_TIMEOUT &
check claims refuted Claims verdict GIVE_UP_UNSAFELY &
check claims refuted Claims freed NEVER_ABANDON &
check claims holds Claims freed &
check claims holds Claims answer &
check publication holds Publication assertions &
check publication refuted Publication assertions NO_BASE_CHECK &
check publication refuted Publication assertions SNAPSHOT_BLIND &
check publication refuted Publication assertions PEER_ALWAYS &
check freshness holds Freshness assertions &
for variant in PROVE_ON_ARRIVAL ANSWER_EARLY READ_ON_ARRIVAL GO_BACK CHECK_ONCE PROVE_BY_PART; do
    check freshness refuted Freshness assertions "$variant" &
done
check suspension holds Suspension assertions &
for variant in STEADY CHECK_ONCE AGE_ON_WAKE; do
    check suspension refuted Suspension assertions "$variant" &
done
check storereturn holds StoreReturn assertions &
for variant in OFFSET_ALONE TAKE_COPY TELL_OFFSET; do
    check storereturn refuted StoreReturn assertions "$variant" &
done
check emptiedhalls holds EmptiedHalls assertions &
for variant in BY_ARRIVAL GRANT_OUTLIVES AGE_ON_ARRIVAL; do
    check emptiedhalls refuted EmptiedHalls assertions "$variant" &
done
check coldowners holds ColdOwners assertions &
for variant in SETTLED_AT_ONCE NARROW_WINDOW EQUAL_PARTS; do
    check coldowners refuted ColdOwners assertions "$variant" &
done
check rollout holds Rollout assertions &
for variant in NO_CONDITION DONE_EARLY LEASE_ON_ARRIVAL; do
    check rollout refuted Rollout assertions "$variant" &
done
check streamorigins holds StreamOrigins assertions &
check streamorigins holds StreamOrigins assertions LEAVES &
for variant in STARTED_KEEPERS PRESENT_KEEPERS EARLIER_LISTS FORGET_LAPSED BATCHES_PROVE EQUAL_MEMORY HALL_WITHOUT_KEEPER; do
    check streamorigins refuted StreamOrigins assertions "$variant" &
done
results=0
for job in $(jobs -p); do
    wait "$job" || results=1
done
exit "$results"
