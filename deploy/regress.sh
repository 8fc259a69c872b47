#!/usr/bin/env bash
# Scores sites of the users' bench one after the other and compares each score with the committed
# one in deploy/figures.txt.
#
#   deploy/regress.sh FLEETBENCH SITE.toml...
#
# Exits with 1 when a site's gate fails or its score falls by more than the bench's noise, with 2 on
# bad usage or a run without a score. With UPDATE=1 the measured figures replace the committed ones.
set -uo pipefail
cd "$(dirname "$0")/.."

# The bench calls a smaller change of a score noise.
noise=0.03
figures=deploy/figures.txt

if [ $# -lt 2 ] || [ ! -x "$1" ]; then
    echo "usage: deploy/regress.sh FLEETBENCH SITE.toml..." >&2
    exit 2
fi
bench=$1
shift
jobs=$(($(nproc) / 2))
[ "$jobs" -ge 1 ] || jobs=1

status=0
printf '%-26s %9s %9s  %s\n' site committed measured gate
for site in "$@"; do
    name=$(basename "$site" .toml)
    if ! output=$("$bench" score "$site" --jobs "$jobs" --why "regression: $name" 2>&1); then
        printf '%s\n' "$output" | tail -5 >&2
    fi
    score=$(sed -nE 's/^score on the standard days of [^:]*: ([0-9.]+).*/\1/p' <<<"$output" | tail -1)
    gate=$(grep -oE '^GATE (passed|failed)' <<<"$output" | tail -1)
    if [ -z "$score" ] || [ -z "$gate" ]; then
        echo "$name: no score" >&2
        exit 2
    fi
    before=$(awk -v name="$name" '$1 == name { print $2 }' "$figures" 2>/dev/null)
    verdict=${gate#GATE }
    [ "$verdict" = passed ] || status=1
    if [ -n "$before" ] &&
        awk -v a="$before" -v b="$score" -v n="$noise" 'BEGIN { exit !(b < a - n) }'; then
        verdict="$verdict, score has fallen"
        status=1
    fi
    printf '%-26s %9s %9s  %s\n' "$name" "${before:--}" "$score" "$verdict"
    if [ "${UPDATE:-0}" = 1 ]; then
        { grep -vE "^$name " "$figures" 2>/dev/null || true; echo "$name $score"; } |
            sort >"$figures.new" && mv "$figures.new" "$figures"
    fi
done
exit $status
