#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/berylgw-direct ] && [ -x target/review/token ] || {
    echo "build the deploy file's programs and review/build.sh first"
    exit 2
}
exec target/review/token review/3/record.txt
