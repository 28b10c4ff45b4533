#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=5 110 node case.mjs
status=$?
[ "$status" -le 2 ] || exit 2
exit "$status"
