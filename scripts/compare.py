"""Prints the reports of scripts/measure.sh side by side, with ratios to no batch."""

import json
import sys
from pathlib import Path

MEASURES = ["first_token", "between_tokens", "whole_answer"]
QUANTILES = ["p50", "p95", "p99", "p999"]


def load(path):
    return json.loads(path.read_text()) if path.exists() else {}


def main():
    folder, policies = Path(sys.argv[1]), sys.argv[2:]
    reports = {p: load(folder / f"{p}.json") for p in policies}
    tokens = {p: load(folder / f"{p}.tokens.json") for p in policies}
    base = reports.get("online_only") or {}
    print(f"{'measure':24}" + "".join(f"{p:>22}" for p in policies))
    for measure in MEASURES:
        for quantile in QUANTILES:
            row = f"{measure + ' ' + quantile:24}"
            for policy in policies:
                value = reports[policy].get(measure, {}).get(quantile)
                reference = base.get(measure, {}).get(quantile)
                cell = "-" if value is None else f"{value / 1000:.1f} ms"
                if value is not None and reference:
                    cell += f" ({value / reference:.3f})"
                row += f"{cell:>22}"
            print(row)
    for name in ["sent", "whole", "refused", "failed", "wrong"]:
        print(f"{name:24}" + "".join(f"{reports[p].get(name, '-'):>22}" for p in policies))
    idle = tokens.get("idle", {}).get("engine_tokens", 0)
    for label, of in [("online tokens/s", online), ("batch tokens/s", batch)]:
        row = [of(reports[p], tokens[p]) for p in policies]
        print(f"{label:24}" + "".join(f"{value:22.0f}" for value in row))
    row = f"{'batch share of idle':24}"
    for policy in policies:
        seconds = tokens[policy].get("seconds", 1)
        room = idle / seconds - online(reports[policy], tokens[policy])
        share = batch(reports[policy], tokens[policy]) / room if idle else 0
        row += f"{share:22.3f}"
    print(row)


def online(report, tokens):
    return report.get("tokens", 0) / tokens.get("seconds", 1)


def batch(report, tokens):
    return tokens.get("engine_tokens", 0) / tokens.get("seconds", 1) - online(report, tokens)


main()
