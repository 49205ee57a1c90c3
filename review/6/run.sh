#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
RIG_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -n "$RIG_RUN" ] && [ -x target/release/martenlatch ] && [ -x target/review-2/rig ] || exit 2
RIG_TMP=$(mktemp -d) || exit 2
export RIG_RUN RIG_TMP
end() {
  [ ! -f "$RIG_TMP/pid" ] || kill -9 "$(cat "$RIG_TMP/pid")" 2>/dev/null
  rm -rf "$RIG_TMP"
}
trap end EXIT
timeout -k 1 115 target/review-2/rig copies "$here"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
