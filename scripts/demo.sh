#!/usr/bin/env bash
# Builds the system, starts a small deployment on loopback and runs the main job on it.
#
# Usage: scripts/demo.sh [ventiladores|harrow]
# Each step's result is checked; the exit code is 0 only if all were as they must be.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v cmake >/dev/null; then
    apt-get update -qq
    apt-get install -y -qq cmake >/dev/null
fi

DEPLOYMENT=${1:-ventiladores}
case $DEPLOYMENT in
ventiladores)
    MODEL=alarma-llm OPERATION=despacho/dispatch-truck BATCH=examples/summaries.jsonl
    PROMPT="Fan 3 of shed 7 stopped; 31 degrees inside. What does the grower do first?"
    ;;
harrow)
    MODEL=hallmark-llm OPERATION=certificates/issue BATCH=examples/reports.jsonl
    PROMPT="Does the maker's mark RH in an oval match the registry entry of R. Hale?"
    ;;
*)
    echo "unknown deployment $DEPLOYMENT: ventiladores or harrow" >&2
    exit 2
    ;;
esac

cargo build --workspace --bins --locked
# shellcheck source=scripts/deployment.sh
. scripts/deployment.sh
trap stop_deployment EXIT

steps=0
pass() {
    steps=$((steps + 1))
    echo "ok $steps: $1"
}
fail() {
    echo "FAILED: $1" >&2
    exit 1
}
field() { # expression, JSON on standard input
    python3 -c "import json,sys; print(eval('d' + sys.argv[1], {'d': json.load(sys.stdin)}))" "$1"
}
streamed_text() { # server-sent events on standard input
    python3 -c '
import json, sys
text, whole = "", False
for line in sys.stdin:
    data = line.strip().removeprefix("data: ")
    if data == "[DONE]":
        whole = True
    elif data.startswith("{"):
        text += json.loads(data)["choices"][0]["delta"].get("content", "")
sys.exit("stream is not whole") if not whole else print(text)'
}

start_deployment
ctl validate "examples/$DEPLOYMENT.json" >"$RUN/validate.txt" || fail "the document is valid"
ctl apply "examples/$DEPLOYMENT.json" >"$RUN/apply.txt" || fail "the document is applied"
wait_for 20 all_ready || fail "all hosts have the document in force"
pass "document validated, applied and in force on $((ENTRIES + BATCHES)) hosts"

addresses_known() {
    [ "$(curl -sf 127.0.0.1:7301/v1/addresses | field '["addresses"].__len__()')" = "$ENTRIES" ]
}
wait_for 10 addresses_known || fail "all entries are handed out"
curl -sf 127.0.0.1:7301/v1/addresses >"$RUN/addresses.json"
A=$(field '["addresses"][0]' <"$RUN/addresses.json")
B=$(field '["addresses"][1]' <"$RUN/addresses.json")
pass "addresses to use: $(field '["addresses"]' <"$RUN/addresses.json")"

body() { # stream?
    MODEL=$MODEL PROMPT=$PROMPT STREAM=$1 python3 -c '
import json, os
print(json.dumps({"model": os.environ["MODEL"], "stream": os.environ["STREAM"] == "yes",
    "messages": [{"role": "user", "content": os.environ["PROMPT"]}]}))'
}
body yes | caller POST "$A/v1/chat/completions" -H 'idempotency-key: demo-1' -N -d @- \
    >"$RUN/stream.txt"
first=$(streamed_text <"$RUN/stream.txt") || fail "the stream is whole"
pass "online request streamed by $A: $(wc -w <<<"$first") tokens"

body no | caller POST "$B/v1/chat/completions" -H 'idempotency-key: demo-1' -d @- \
    >"$RUN/resend.json"
second=$(field '["choices"][0]["message"]["content"]' <"$RUN/resend.json")
[ "$first" = "$second" ] || fail "the resend has the same result"
runs=0
for n in $(seq "$ENGINES"); do
    count=$(curl -sf "127.0.0.1:$((7100 + n))/_records" | python3 -c '
import json, sys
records = json.load(sys.stdin)["records"]
print(sum(r["event"] == "started" and r["request_id"].startswith("demo-1@") for r in records))')
    runs=$((runs + count))
done
[ "$runs" = 1 ] || fail "the request ran once, not $runs times"
pass "resend through $B: the same result, no second run"

for address in "$A" "$B"; do
    caller POST "$address/v1/services/$OPERATION" -H 'idempotency-key: demo-2' \
        -d '{"order": 17}' >"$RUN/operation.json"
    field '["result"]' <"$RUN/operation.json" >>"$RUN/operation.txt"
done
[ "$(sort -u "$RUN/operation.txt" | wc -l)" = 1 ] || fail "both answers are the same"
count=$(curl -sf "$SERVICE/_records" | field '["runs"].__len__()')
[ "$count" = 1 ] || fail "the operation ran once, not $count times"
pass "call that may not be repeated, sent twice: ran once"

caller POST "$A/v1/files" --data-binary "@$BATCH" -H 'content-type: application/jsonl' \
    >"$RUN/file.json"
file=$(field '["id"]' <"$RUN/file.json")
submit() {
    caller POST "$1/v1/batches" -H 'idempotency-key: demo-job' -H 'content-type: application/json' \
        -d "{\"input_file_id\":\"$file\",\"endpoint\":\"/v1/chat/completions\",\"completion_window\":\"24h\"}"
}
job=$(submit "$A" | field '["id"]')
[ "$(submit "$B" | field '["id"]')" = "$job" ] || fail "the resent job is the same job"
job_done() {
    caller GET "$B/v1/batches/$job" >"$RUN/job.json"
    field '["request_counts"]' <"$RUN/job.json" >>"$RUN/progress.txt"
    [ "$(field '["status"]' <"$RUN/job.json")" = completed ]
}
wait_for 60 job_done || fail "the job completes"
output=$(field '["output_file_id"]' <"$RUN/job.json")
caller GET "$A/v1/files/$output/content" >"$RUN/results.jsonl"
wanted=$(wc -l <"$BATCH")
ids=$(python3 -c 'import json,sys; print(len({json.loads(l)["custom_id"] for l in sys.stdin}))' \
    <"$RUN/results.jsonl")
lines=$(wc -l <"$RUN/results.jsonl")
[ "$ids" = "$wanted" ] && [ "$lines" = "$wanted" ] || fail "each item has one result"
pass "batch job $job: $(field '["request_counts"]' <"$RUN/job.json")"

ctl timeline "$(field '["id"]' <"$RUN/resend.json")" >"$RUN/timeline.txt" || true
subject=$(python3 - <<'PY' "examples/$DEPLOYMENT.json"
import json, sys
print(json.load(open(sys.argv[1]))["workspaces"][0]["name"] + "/demo-1")
PY
)
ctl timeline "$subject" | tee "$RUN/timeline.txt"
for event in accepted dispatched recorded answered; do
    grep -q "$event" "$RUN/timeline.txt" || fail "the time line has the event $event"
done
pass "merged time line of the request"

entries_ended=0
stop_deployment
for log in "$RUN"/entry-*.log "$RUN"/batch-*.log; do
    if grep -q 'has left' "$log"; then entries_ended=$((entries_ended + 1)); fi
done
[ "$entries_ended" = $((ENTRIES + BATCHES)) ] || fail "all hosts ended cleanly ($entries_ended)"
pass "all processes ended cleanly"
echo "demo of $DEPLOYMENT: $steps of $steps steps as expected"
