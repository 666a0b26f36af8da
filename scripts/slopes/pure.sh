#!/usr/bin/env bash
# Measures the slopes of the pure parts and of the link, and fits a line to each.
#
# usage: scripts/slopes/pure.sh [ledger] [routing] [jobs] [document] [link]
set -euo pipefail
cd "$(dirname "$0")/../.."
[ $# -gt 0 ] || set -- ledger routing jobs document link
for part in "$@"; do
    case $part in
    ledger) example=slope_calls ;;
    routing) example=slope_router ;;
    jobs) example=slope_items ;;
    document) example=slope_document ;;
    link) example=slope_link ;;
    *) echo "no part $part" >&2 && exit 2 ;;
    esac
    cargo run -q --release -p "oleander-$part" --example "$example"
done | awk -f scripts/slopes/fit.awk
