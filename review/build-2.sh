#!/bin/sh
# Builds the stand-ins and checks of the cases 6 to 10: one program without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/harness review/harness-2/main.rs
