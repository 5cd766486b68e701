#!/bin/sh
# Plays the case with the release build of the worker and the stand-ins that review/build.sh builds, and writes record.txt here.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/release/port-worker ] && [ -x target/review/standins ] || { echo "build the worker and the stand-ins first" >&2; exit 2; }
exec target/review/standins stop-time "$folder"
