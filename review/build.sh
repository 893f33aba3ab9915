#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases; needs no library beyond the compiler's own.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/standins/main.rs
