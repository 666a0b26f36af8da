#!/usr/bin/env bash
# Sourced by the other scripts: starts and stops a deployment of plain processes on loopback.
#
# Settings: BIN (folder of the binaries), RUN (folder for logs and keys), DEPLOYMENT (a folder
# below deploy/), ENGINES, ENTRIES, BATCHES (counts), ENGINE_ARGS.

BIN=${BIN:-target/debug}
RUN=${RUN:-run}
DEPLOYMENT=${DEPLOYMENT:-ventiladores}
ENGINES=${ENGINES:-3}
ENTRIES=${ENTRIES:-3}
BATCHES=${BATCHES:-2}
ENGINE_ARGS=${ENGINE_ARGS:-}
PLATFORM=127.0.0.1:7001
SERVICE=127.0.0.1:7201
CALLER_KEY=${CALLER_KEY:-demo-caller-key}
OPERATOR_KEY=${OPERATOR_KEY:-demo-operator-key}
pids=()

start() { # name command...
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
}

wait_for() { # seconds command...
    local tries=$(($1 * 20))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        if [ "$tries" -le 0 ]; then
            echo "not in time: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

write_settings() { # name role zone number
    cat >"$RUN/$1.json" <<JSON
{
  "host": "$1", "zone": "$3", "role": "$2",
  "listen": "127.0.0.1:$((7300 + $4))", "link": "127.0.0.1:$((7400 + $4))",
  "admin": "127.0.0.1:$((7500 + $4))", "platform": "$PLATFORM",
  "link_key_file": "$RUN/keys/link.key", "operator_key_file": "$RUN/keys/operator.key",
  "log": {"json": true, "level": "info"},
  "entry": ${ENTRY_SETTINGS:-{\}}, "batch": ${BATCH_SETTINGS:-{\}}
}
JSON
}

list_host() { # name role zone address
    curl -sf -X PUT "$PLATFORM/v1/hosts/$1" -H 'content-type: application/json' \
        -d "{\"name\":\"$1\",\"role\":\"$2\",\"zone\":\"$3\",\"address\":\"$4\",\"state\":\"live\"}"
}

zone_of() { # number
    echo "${ZONES[$((($1 - 1) % ${#ZONES[@]}))]}"
}

start_host() { # name role number
    local zone
    zone=$(zone_of "$3")
    write_settings "$1" "$2" "$zone" "$3"
    list_host "$1" "$2" "$zone" "127.0.0.1:$((7400 + $3))"
    start "$1" "$BIN/oleander-$2" --config "$RUN/$1.json"
}

start_deployment() {
    if curl -s "$PLATFORM/_stats" >/dev/null; then
        echo "another deployment runs at $PLATFORM" >&2
        return 1
    fi
    rm -rf "$RUN"
    mkdir -p "$RUN/keys"
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$RUN/keys/link.key"
    printf %s "$OPERATOR_KEY" >"$RUN/keys/operator.key"
    printf %s "$CALLER_KEY" >"$RUN/keys/caller.key"
    case $DEPLOYMENT in
    harrow) ZONES=(coast-a coast-b coast-c) ;;
    *) ZONES=(pergamino junin venado rafaela) ;;
    esac
    start platform "$BIN/standin-platform" --listen "$PLATFORM" ${PLATFORM_ARGS:-}
    start service "$BIN/standin-service" --listen "$SERVICE"
    local n
    for n in $(seq "$ENGINES"); do
        # shellcheck disable=SC2086
        start "engine-$n" "$BIN/standin-engine" --listen "127.0.0.1:$((7100 + n))" $ENGINE_ARGS
    done
    wait_for 10 curl -sf "$PLATFORM/_stats"
    admin_args=()
    for n in $(seq "$ENTRIES"); do
        start_host "entry-$n" entry "$n"
        admin_args+=(--admin "127.0.0.1:$((7500 + n))")
    done
    for n in $(seq "$BATCHES"); do
        start_host "batch-$n" batch "$((n + 40))"
        admin_args+=(--admin "127.0.0.1:$((7540 + n))")
    done
    for n in $(seq "$ENTRIES"); do
        wait_for 10 curl -sf "127.0.0.1:$((7500 + n))/health"
    done
}

stop_deployment() {
    local pid
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}

ctl() {
    "$BIN/oleanderctl" "${admin_args[@]}" --key-file "$RUN/keys/operator.key" "$@"
}

all_ready() {
    local n
    for n in $(seq "$ENTRIES"); do
        curl -sf "127.0.0.1:$((7500 + n))/ready" || return 1
    done
    for n in $(seq "$BATCHES"); do
        curl -sf "127.0.0.1:$((7540 + n))/ready" || return 1
    done
}

caller() { # method path [curl arguments...]
    local method=$1 path=$2
    shift 2
    curl -sS -X "$method" -H "authorization: Bearer $CALLER_KEY" "$@" "$path"
}
