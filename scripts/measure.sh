#!/usr/bin/env bash
# Measures harm to online calls and batch throughput under each policy, side by side.
#
# Usage: scripts/measure.sh [ventiladores|harrow] [SECONDS] [SEED] [POLICY...]
# Policies: idle (batch alone), online_only, managed, first_come, split. Reports go to run/measure.
set -euo pipefail
cd "$(dirname "$0")/.."

DEPLOYMENT=${1:-ventiladores}
SECONDS_EACH=${2:-20}
SEED=${3:-1}
shift $(($# < 3 ? $# : 3))
POLICIES=("$@")
[ ${#POLICIES[@]} -gt 0 ] || POLICIES=(idle online_only managed first_come split)
OUT=${OUT:-run/measure}
BIN=${BIN:-target/release}
RUN=run/deployment
ENTRIES=${ENTRIES:-8}
BATCHES=${BATCHES:-4}
BATCH_ITEMS=${BATCH_ITEMS:-20000}
TARGET_LIMIT=${TARGET_LIMIT:-16}
RESERVE=${RESERVE:-4}
ENGINE_ARGS=${ENGINE_ARGS:---slots 16 --step-base-us 20000 --step-per-seq-us 100 --prefill-us-per-token 20 --kv-tokens 65536}
case $DEPLOYMENT in
harrow) ENGINES=${ENGINES:-12} MODEL=hallmark-llm RATE=${RATE:-30} BURST=${BURST:-60} ;;
*) ENGINES=${ENGINES:-20} MODEL=alarma-llm RATE=${RATE:-50} BURST=${BURST:-100} ;;
esac
BURST_EVERY=${BURST_EVERY:-5}
cargo build --release --workspace --bins --locked
mkdir -p "$OUT"
# shellcheck source=scripts/deployment.sh
. scripts/deployment.sh
trap stop_deployment EXIT

write_document() {
    python3 - "$DEPLOYMENT" "$ENGINES" "$TARGET_LIMIT" "$RESERVE" <<'PY'
import json, sys
name, engines, limit, reserve = sys.argv[1], *map(int, sys.argv[2:])
document = json.load(open(f"examples/{name}.json"))
service = document["services"][0]
zones = document["zones"]
service["targets"] = [
    {"name": f"engine-{n}", "zone": zones[n % len(zones)], "address": f"127.0.0.1:{7100 + n}"}
    for n in range(1, engines + 1)
]
service.setdefault("online", {}).update(target_limit=limit, reserve=reserve)
service.setdefault("batch", {}).update(lot_items=64)
print(json.dumps(document))
PY
}

submit_job() {
    "$BIN/standin-load" --batch-file "$RUN/items.jsonl" --items "$BATCH_ITEMS" \
        --prompt-tokens 100 --seed "$SEED" --model "$MODEL" >/dev/null
    local file
    file=$(caller POST 127.0.0.1:7301/v1/files --data-binary "@$RUN/items.jsonl" \
        -H 'content-type: application/jsonl' | python3 -c 'import json,sys; print(json.load(sys.stdin)["id"])')
    caller POST 127.0.0.1:7301/v1/batches -H 'content-type: application/json' \
        -d "{\"input_file_id\":\"$file\",\"endpoint\":\"/v1/chat/completions\",\"completion_window\":\"24h\"}" |
        python3 -c 'import json,sys; print(json.load(sys.stdin)["id"])'
}

engine_tokens() { # total tokens that all engines gave out, of batch runs and of others
    local n
    for n in $(seq "$ENGINES"); do
        curl -sf "127.0.0.1:$((7100 + n))/_stats"
        echo
    done | python3 -c 'import json,sys; print(sum(json.loads(l)["tokens"] for l in sys.stdin if l.strip()))'
}

measure() { # policy
    local policy=$1 setting=$1
    # The capacity that idle targets have: all slots, no online calls.
    [ "$policy" = idle ] && setting=first_come
    ENTRY_SETTINGS="{\"policy\":\"$setting\"}" BATCH_SETTINGS="{\"policy\":\"$setting\",\"slots\":256}"
    start_deployment
    write_document >"$RUN/document.json"
    ctl apply "$RUN/document.json" >/dev/null
    wait_for 20 all_ready
    sleep 2
    if [ "$policy" != online_only ]; then
        submit_job >"$RUN/job.txt"
        sleep 4
    fi
    local before after addresses=()
    local n
    for n in $(seq "$ENTRIES"); do addresses+=(--address "127.0.0.1:$((7300 + n))"); done
    before=$(engine_tokens)
    if [ "$policy" = idle ]; then
        sleep "$SECONDS_EACH"
        echo '{}' >"$OUT/$policy.json"
    else
        "$BIN/standin-load" "${addresses[@]}" --key-file "$RUN/keys/caller.key" --rate "$RATE" \
            --burst-every-s "$BURST_EVERY" --burst-size "$BURST" --seconds "$SECONDS_EACH" \
            --seed "$SEED" --model "$MODEL" --label "$policy" --report "$OUT/$policy.json" \
            >"$OUT/$policy.txt" || true
    fi
    after=$(engine_tokens)
    echo "{\"policy\":\"$policy\",\"engine_tokens\":$((after - before)),\"seconds\":$SECONDS_EACH}" \
        >"$OUT/$policy.tokens.json"
    stop_deployment
}

for policy in "${POLICIES[@]}"; do
    echo "measuring $policy"
    measure "$policy"
done
python3 scripts/compare.py "$OUT" "${POLICIES[@]}"
