#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review. Needs rustc alone; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
rustc --edition 2024 -O -o ../target/review/standin-3 standin-3/main.rs
