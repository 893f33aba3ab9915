#!/usr/bin/env bash
# Requests with ids in other forms (TROUBLE=0: letters, digits, '-', '_', '.', ':').
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/rig id review/5
