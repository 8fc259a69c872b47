#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the probe reads it.
set -u
export TROUBLE="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
probe=target/review-probe/release/lavendergauge-review-probe
[ -x "$probe" ] && [ -x target/release/lavendergauged ] || exit 2
directory="$(mktemp -d)" || exit 2
finish() {
    # Processes that are left if the probe was cut off.
    while read -r pid; do
        if grep -qa -- "$directory" "/proc/$pid/cmdline" 2>/dev/null; then kill -KILL "$pid"; fi
    done 2>/dev/null <"$directory/pids"
    rm -rf "$directory"
}
trap finish EXIT
timeout --kill-after=5 110 "$probe" reserved "$directory" "$here/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
