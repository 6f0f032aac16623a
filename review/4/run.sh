#!/usr/bin/env bash
# Plays case 4. It needs the build of the deploy file and review/build.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case/../.." || exit 2
for program in target/bulrushlock target/review-stand; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec timeout --signal=TERM 110 target/review-stand alone "$case/record.txt"
