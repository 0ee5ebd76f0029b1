#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review-3 ] && [ -x target/release/jaycrank-front ] || {
  echo "build first: the command of deploy/system.toml, then review/build-3.sh"
  exit 2
}
target/review-3/review-3 stale-reader review/11
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
