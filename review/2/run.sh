#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; see claim.txt.
set -u
cd "$(dirname "$0")/../.."
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
program=target/review/release/review-case
[ -x "$program" ] && [ -x target/release/lavendergauged ] || exit 2
timeout --signal=TERM 115 "$program" restart-lease review/2
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
