#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/src-3/main.rs
