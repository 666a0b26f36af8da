# Fits a least-squares line to each series of `series x y` lines.
# Prints the points, the line, and the largest residual as a share of the largest value.
/^#/ { print; next }
NF == 3 {
    if (!($1 in n)) names[++series] = $1
    i = ++n[$1]
    x[$1, i] = $2; y[$1, i] = $3
    sx[$1] += $2; sy[$1] += $3; sxx[$1] += $2 * $2; sxy[$1] += $2 * $3
    if ($3 > top[$1]) top[$1] = $3
}
END {
    for (s = 1; s <= series; s++) {
        k = names[s]; c = n[k]
        d = c * sxx[k] - sx[k] * sx[k]
        b = d == 0 ? 0 : (c * sxy[k] - sx[k] * sy[k]) / d
        a = (sy[k] - b * sx[k]) / c
        worst = 0; points = ""
        for (i = 1; i <= c; i++) {
            r = y[k, i] - a - b * x[k, i]
            if (r < 0) r = -r
            if (r > worst) worst = r
            points = points sprintf(" %s:%.6g", x[k, i], y[k, i])
        }
        printf "%-28s%s\n%-28s = %.4g + %.4g x; largest residual %.3g (%.1f %% of the largest value)\n", \
            k, points, "", a, b, worst, (top[k] ? 100 * worst / top[k] : 0)
    }
}
