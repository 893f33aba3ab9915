#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0
# it leaves out the disruption. Needs the build of the deploy file and review/build-2.sh. The program
# ends each process that it started by its id, and itself after 110 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/gooseberrydyke-gateway ] && [ -x target/review-2/harness ] || exit 2
exec target/review-2/harness limit review/8
