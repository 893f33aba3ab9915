#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0
# it leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/gooseberrydyke-gateway ] && [ -x target/review-2/harness ] || exit 2
timeout -k 2 115 target/review-2/harness stale review/9
code=$?
[ $code -le 2 ] || code=2
exit $code
