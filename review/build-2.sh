#!/bin/bash
# Builds the stand-ins of the cases in review/6 to review/10. The entry hosts come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/standin-2/main.rs
