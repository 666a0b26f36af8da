#!/usr/bin/env bash
# Measures what a deployment on loopback costs, and fits a line to each series.
#
# usage: scripts/slopes.sh [entries] [targets] [requests] [tokens] [items] [documents] [takeovers]
#
# Needs release builds (`cargo build --release --bins`) and port 7001 free. Processor time is that
# of a process with its ended threads; bytes are those of the connections open at both ends of the
# measured time, as the kernel counts them, with 52 bytes of headers for each segment.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-target/release}
RUN=${RUN:-run/slopes}
SECONDS_EACH=${SECONDS_EACH:-10}
# shellcheck source=scripts/deployment.sh
. scripts/deployment.sh
# Fields of the load tool's report.
REPORTED_RATE='.sent / (.window_us / 1e6) | round'
TOKENS_A_CALL='.tokens / .whole * 10 | round / 10'

# Processes under measurement, as name=pid.
watched=()

wait_for_port() {
    local tries=600
    while ss -ltnH | grep -q ':7001 '; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "port 7001 is in use" >&2; exit 1; }
        sleep 0.5
    done
}

# A document of the deployment with as many engines as run, and some workspaces.
document() { # engines workspaces
    jq --argjson n "$1" --argjson w "$2" '
        .zones as $zones
        | .services[0].targets = [range(1; $n + 1) | {name: "worker-\(.)",
            zone: $zones[(. - 1) % ($zones | length)], address: "127.0.0.1:\(7100 + .)"}]
        | .workspaces[0] as $first
        | .workspaces += [range(1; $w) | $first + {name: "workspace-\(. + 10000)",
            key_digest: ("0" * 59 + "\(. + 10000)")}]
    ' examples/ventiladores.json >"$RUN/document.json"
}

begin() { # engines entries batches
    wait_for_port
    ENGINES=$1 ENTRIES=$2 BATCHES=$3
    start_deployment
    document "$ENGINES" 1
    ctl apply "$RUN/document.json" >/dev/null
    wait_for 20 all_ready
    watched=()
    local n
    for n in $(seq "$ENTRIES"); do watch_process "entry-$n"; done
    for n in $(seq "$BATCHES"); do watch_process "batch-$n"; done
    sleep 4
}

watch_process() { # name
    local pid=pid_${1//-/_}
    watched+=("$1=${!pid}")
}

# Includes threads that have ended; in steps of 10 ms.
processor_ns() { # pid
    awk -v tick="$(getconf CLK_TCK)" '{ printf "%.0f\n", ($14 + $15) / tick * 1e9 }' /proc/"$1"/stat
}

# Bytes and segments that each process sent and received, by the kind of peer.
traffic() {
    ss -tinpOH state established | awk -f scripts/slopes/traffic.awk
}

snapshot() { # file
    local entry
    {
        echo "at $(date +%s%N)"
        for entry in "${watched[@]}"; do
            echo "cpu $entry $(processor_ns "${entry#*=}")"
            echo "rss $entry $(awk '/^VmRSS/ { print $2 }' /proc/"${entry#*=}"/status)"
        done
        curl -sf "$PLATFORM/_stats" | jq -r 'to_entries[] | "platform \(.key) \(.value)"'
        traffic | sed 's/^/net /'
    } >"$1"
}

# Prints the rates between two snapshots as points of series that start with $1.
rates() { # prefix x
    awk -v prefix="$1" -v x="$2" -f scripts/slopes/rates.awk "$RUN/before" "$RUN/after" | sort
}

snapshot_seconds() {
    awk '$1 == "at" { t[++n] = $2 } END { print (t[2] - t[1]) / 1e9 }' "$RUN/before" "$RUN/after"
}

idle() { # prefix x
    snapshot "$RUN/before"
    sleep "$SECONDS_EACH"
    snapshot "$RUN/after"
    rates "$1" "$2"
}

load() { # rate tokens
    "$BIN/standin-load" --address 127.0.0.1:7301 --ask-addresses --key-file "$RUN/keys/caller.key" \
        --rate "$1" --max-tokens "$2" --seconds "$SECONDS_EACH" --callers 32 \
        --report "$RUN/load.json" --label slopes >"$RUN/load.txt" 2>&1 ||
        echo "# load tool: exit code $?" >&2
}

loaded() { # prefix field-of-the-report rate tokens
    local x
    SECONDS_EACH=2 load 5 4
    snapshot "$RUN/before"
    load "$3" "$4"
    snapshot "$RUN/after"
    x=$(jq -r "$2" "$RUN/load.json")
    rates "$1" "$x"
    jq -r --arg x "$x" '"# load at x=\($x): sent \(.sent) whole \(.whole) refused \(.refused) failed \(.failed)"' "$RUN/load.json"
}

measure_entries() {
    echo "# entries: x = entries, idle; 2 batch hosts, 3 targets; figures are means a process"
    local n
    for n in 2 4 6 8; do
        begin 3 "$n" 2
        idle entries "$n"
        stop_deployment
    done
}

measure_targets() {
    echo "# targets: x = targets, idle; 2 entries, 1 batch host"
    local n
    for n in 3 12 24 48; do
        begin "$n" 2 1
        idle targets "$n"
        stop_deployment
    done
}

measure_requests() {
    echo "# requests: x = streamed requests a second of 16 tokens over 2 entries; 6 targets"
    begin 6 2 1
    local n
    for n in 10 20 40 80; do loaded requests "$REPORTED_RATE" "$n" 16; done
    stop_deployment
}

measure_tokens() {
    echo "# tokens: x = mean tokens of 40 requests a second over 2 entries; 6 targets"
    begin 6 2 1
    local n
    for n in 4 16 32 64; do loaded tokens "$TOKENS_A_CALL" 40 "$n"; done
    stop_deployment
}

job_done() { # job
    caller GET "127.0.0.1:7301/v1/batches/$1" | jq -e '.status == "completed"'
}

run_job() { # items
    "$BIN/standin-load" --batch-file "$RUN/items-$1.jsonl" --items "$1" --prompt-tokens 100 \
        --max-tokens 8 --seed "$1"
    local file job
    file=$(caller POST 127.0.0.1:7301/v1/files -H 'content-type: application/jsonl' \
        --data-binary "@$RUN/items-$1.jsonl" | jq -r .id)
    job=$(caller POST 127.0.0.1:7301/v1/batches -H 'content-type: application/json' \
        -d "{\"input_file_id\":\"$file\",\"endpoint\":\"/v1/chat/completions\",\"completion_window\":\"24h\"}" | jq -r .id)
    local tries=0
    until job_done "$job" >/dev/null; do
        tries=$((tries + 1))
        [ "$tries" -lt 300 ] || return 1
        sleep 1
    done
}

# Totals between two snapshots, less what the idle deployment costs in that time.
measure_items() {
    echo "# items: x = items of one job, 8 tokens each; 1 entry, 1 batch host, 6 targets; totals"
    begin 6 1 1
    local n seconds
    idle idle 0 >"$RUN/idle.txt"
    for n in 256 512 1024 2048; do
        snapshot "$RUN/before"
        run_job "$n" >/dev/null
        snapshot "$RUN/after"
        seconds=$(snapshot_seconds)
        rates items "$n" | awk -v s="$seconds" '
            NR == FNR { sub(/^idle/, "items", $1); base[$1] = $3; next }
            /_per_s/ { name = $1; sub(/_per_s/, "_total", name); printf "%s %s %.1f\n", name, $2, ($3 - base[$1]) * s }
            /resident/ { print }' "$RUN/idle.txt" -
        echo "items.seconds $n $seconds"
    done
    stop_deployment
}

measure_documents() {
    echo "# documents: x = workspaces; 3 entries, 2 batch hosts; apply until in force at all"
    begin 3 3 2
    local n start seconds
    for n in 500 1000 2000 3000; do
        document 3 "$n"
        snapshot "$RUN/before"
        start=$(date +%s%N)
        ctl apply "$RUN/document.json" >"$RUN/apply.txt"
        wait_for 20 revision_everywhere
        echo "documents.in_force_ms $n $((($(date +%s%N) - start) / 1000000))"
        sleep 4
        snapshot "$RUN/after"
        seconds=$(snapshot_seconds)
        rates documents "$n" | awk -v s="$seconds" '
            /link_sent|cpu/ { name = $1; sub(/_per_s/, "_total", name); printf "%s %s %.0f\n", name, $2, $3 * s }
            /resident/ { print }'
    done
    stop_deployment
}

segments() { # shards
    local total=0 after='' page
    while page=$(curl -sf "$PLATFORM/v1/list?prefix=log/&after=$after&limit=1000"); do
        total=$((total + $(jq '.objects | length' <<<"$page")))
        [ "$(jq .more <<<"$page")" = true ] || break
        after=$(jq -r '.objects[-1].key' <<<"$page")
    done
    echo $((total / $1))
}

probe() { # method path [curl arguments...]
    caller "$@" -H 'idempotency-key: slope-probe' --max-time 120 -o "$RUN/probe.json" -w '%{time_total}'
}

measure_takeovers() {
    echo "# takeovers: x = segments of a shard (mean of 8) when a new owner answers its first call"
    echo "# y = elapsed ms of that call, which reads the result of an old one; 1 entry"
    begin 6 1 1
    local n
    probe POST 127.0.0.1:7301/v1/chat/completions -H 'content-type: application/json' \
        -d '{"model":"alarma-llm","max_tokens":4,"messages":[{"role":"user","content":"fan 3"}]}' >/dev/null
    for n in 5 5 10 20; do
        SECONDS_EACH=$n load 100 4
        kill -KILL "$pid_entry_1"
        wait "$pid_entry_1" 2>/dev/null || true
        start entry-1 "$BIN/oleander-entry" --config "$RUN/entry-1.json"
        wait_for 20 all_ready
        n=$(segments 8)
        probe GET 127.0.0.1:7301/v1/results/slope-probe | awk -v x="$n" '{ print "takeovers.first_call_ms", x, $1 * 1000 }'
        jq -e '.choices' "$RUN/probe.json" >/dev/null || echo "# x=$n: no result: $(head -c 200 "$RUN/probe.json")"
    done
    stop_deployment
}

revision_everywhere() {
    ctl status --json | jq -e '[.. | objects | .revision? // empty] | (unique | length) == 1'
}

measure() {
    trap stop_deployment EXIT
    local part
    for part in "$@"; do "measure_$part"; done
}

[ $# -gt 0 ] || set -- entries targets requests tokens items documents takeovers
measure "$@" | awk -f scripts/slopes/fit.awk
