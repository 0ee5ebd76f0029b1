#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/src-2/main.rs
