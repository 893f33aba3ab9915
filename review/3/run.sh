#!/usr/bin/env bash
# Requests for paths without a route (TROUBLE=0: only for paths with one).
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/rig prefix review/3
