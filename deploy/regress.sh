#!/usr/bin/env bash
# Scores sites of the users' bench one after the other, three times each, and compares the median
# score and the median worth with the committed ones in deploy/figures.txt. The worth is the mean
# over the standard days with trouble, before it is cut at 1.
#
#   [RUNS=3] [UPDATE=1] deploy/regress.sh FLEETBENCH SITE.toml...
#
# Exits with 1 when a gate fails or a median falls by more than the bench's noise, with 2 on bad
# usage or a run without a score. With UPDATE=1 the measured figures replace the committed ones.
set -uo pipefail
cd "$(dirname "$0")/.."

# The bench calls a smaller change of a score noise.
noise=0.03
figures=deploy/figures.txt
runs=${RUNS:-3}

if [ $# -lt 2 ] || [ ! -x "$1" ] || ! [[ $runs =~ ^[1-9][0-9]*$ ]]; then
    echo "usage: [RUNS=3] [UPDATE=1] deploy/regress.sh FLEETBENCH SITE.toml..." >&2
    exit 2
fi
bench=$1
shift
jobs=$(($(nproc) / 2))
[ "$jobs" -ge 1 ] || jobs=1

median() { sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }
has_fallen() { awk -v a="$1" -v b="$2" -v n="$noise" 'BEGIN { exit !(b < a - n) }'; }

status=0
printf '%-26s %9s %9s %9s %9s  %s\n' site committed score committed worth gate
for site in "$@"; do
    name=$(basename "$site" .toml)
    scores='' worths='' verdict=passed
    for ((run = 1; run <= runs; run++)); do
        if ! output=$("$bench" score "$site" --jobs "$jobs" \
            --why "regression: $name, $run of $runs" 2>&1); then
            printf '%s\n' "$output" | tail -5 >&2
        fi
        score=$(sed -nE 's/^score on the standard days of [^:]*: ([0-9.]+).*/\1/p' <<<"$output" |
            tail -1)
        worth=$(awk '$1 ~ /^(trouble|scale)-[0-9]+$/ { sum += $4; days++ }
            END { if (days) printf "%.3f", sum / days }' <<<"$output")
        gate=$(grep -oE '^GATE (passed|failed)' <<<"$output" | tail -1)
        if [ -z "$score" ] || [ -z "$worth" ] || [ -z "$gate" ]; then
            echo "$name: no score" >&2
            exit 2
        fi
        scores+="$score"$'\n'
        worths+="$worth"$'\n'
        [ "$gate" = "GATE passed" ] || verdict=failed
    done
    score=$(printf %s "$scores" | median)
    worth=$(printf %s "$worths" | median)
    read -r score_before worth_before < <(
        awk -v name="$name" '$1 == name { print $2, $3 }' "$figures" 2>/dev/null
    ) || true
    [ "$verdict" = passed ] || status=1
    if [ -n "${score_before:-}" ] && has_fallen "$score_before" "$score"; then
        verdict="$verdict, score has fallen"
        status=1
    fi
    if [ -n "${worth_before:-}" ] && has_fallen "$worth_before" "$worth"; then
        verdict="$verdict, worth has fallen"
        status=1
    fi
    printf '%-26s %9s %9s %9s %9s  %s\n' \
        "$name" "${score_before:--}" "$score" "${worth_before:--}" "$worth" "$verdict"
    if [ "${UPDATE:-0}" = 1 ]; then
        { grep -vE "^$name " "$figures" 2>/dev/null || true; echo "$name $score $worth"; } |
            sort >"$figures.new" && mv "$figures.new" "$figures"
    fi
done
exit $status
