#!/bin/bash
# Plays the case of claim.txt: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 2 116 bin/review/standin -case pipeline -root . -dir "$dir" -record review/1/record.txt -trouble=$trouble
result=$?
[ "$result" -gt 1 ] && exit 2
exit "$result"
