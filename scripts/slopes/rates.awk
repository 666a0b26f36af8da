# Turns two snapshots of scripts/slopes.sh into points `prefix.series x y`.
# Figures of processes are means over those of a role.
function role(name) { sub(/-.*/, "", name); return name }

FNR == 1 { file++ }
$1 == "at" { at[file] = $2 / 1e9 }
$1 == "cpu" || $1 == "rss" {
    split($2, part, "=")
    who = role(part[1])
    name[part[2]] = who
}
$1 == "cpu" {
    if (file == 1) count[who]++
    cpu[file, who] += $3
}
$1 == "rss" { rss[file, who] += $3 }
$1 == "platform" {
    calls[file, $2] = $3
    kinds[$2]
}
$1 == "net" && ($2 in name) && $3 != "other" {
    key = name[$2] " " $3
    sent[file, key] += $4
    received[file, key] += $5
    seen[key]
}

END {
    seconds = at[2] - at[1]
    for (who in count) {
        used = (cpu[2, who] - cpu[1, who]) / 1e3 / seconds / count[who]
        printf "%s.%s.cpu_us_per_s %s %.1f\n", prefix, who, x, used
        printf "%s.%s.resident_kb %s %.0f\n", prefix, who, x, rss[2, who] / count[who]
    }
    for (key in seen) {
        split(key, part, " ")
        scale = 1 / seconds / count[part[1]]
        series = prefix "." part[1] "." part[2]
        printf "%s_sent_per_s %s %.0f\n", series, x, (sent[2, key] - sent[1, key]) * scale
        printf "%s_received_per_s %s %.0f\n", series, x, (received[2, key] - received[1, key]) * scale
    }
    for (kind in kinds) {
        if (kind == "watching") printf "%s.platform.watching %s %d\n", prefix, x, calls[2, kind]
        else printf "%s.platform.%s_per_s %s %.2f\n", prefix, kind, x, (calls[2, kind] - calls[1, kind]) / seconds
    }
}
