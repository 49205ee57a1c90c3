#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2
# if the case could not run.
set -um
here=$(cd "$(dirname "$0")" && pwd)
program="$here/../bin/case-$(basename "$here")"
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
# The program has a process group of its own, so that all processes that it starts end with it.
"$program" "$here" "$here/../.." &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "${TMPDIR:-/tmp}/review-$group"' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
