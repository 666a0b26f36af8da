# Sums what `ss -tinpOH` shows, by process and kind of peer: `pid kind sent received`.
# 52 bytes of headers are added for each segment.
function port(address) { sub(/.*:/, "", address); return address + 0 }

function field(name,    found) {
    found = match($0, " " name ":[0-9]+")
    if (!found) return 0
    return substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2) + 0
}

function is_link(number) { return number >= 7400 && number < 7500 }

match($0, /pid=[0-9]+/) {
    pid = substr($0, RSTART + 4, RLENGTH - 4)
    near = port($3)
    far = port($4)
    kind = "other"
    if (is_link(near) || is_link(far)) kind = "link"
    else if (far == 7001) kind = "platform"
    else if (far > 7100 && far < 7300) kind = "target"
    key = pid " " kind
    sent[key] += field("bytes_sent") + 52 * field("segs_out")
    received[key] += field("bytes_received") + 52 * field("segs_in")
}

END { for (key in sent) printf "%s %.0f %.0f\n", key, sent[key], received[key] }
