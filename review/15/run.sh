#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/kit-3-$(basename "$here")
[ -x "$program" ] && [ -x target/release/berylgw-direct ] || exit 2
RECORD="$here/record.txt" exec "$program"
