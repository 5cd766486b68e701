#!/usr/bin/env bash
# An order is refused although it has run: its try over AJP waits for a slow directory, its repeat over HTTP runs meanwhile.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case10
RUN=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [ ! -x "$program" ] || [ -z "$RUN" ] || ! FOLDER=$(mktemp -d); then
    echo "build first: the build of the deploy file, then review/build-2.sh"
    exit 2
fi
trap 'rm -rf "$FOLDER"' EXIT
RECORD=review/10/record.txt
export RUN FOLDER RECORD
"$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
