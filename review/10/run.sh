#!/bin/sh
# Runs case 10 after the build of the deploy file and review/build-2.sh: 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
case=../../target/review-2/case-10
[ -x "$case" ] && [ -x ../../target/release/berylgw-direct ] || exit 2
exec "$case" record.txt
