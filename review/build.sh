#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
