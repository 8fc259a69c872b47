#!/bin/sh
# Builds the program of the scripted cases of the third review, with the stand-ins that it starts.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/cases-3/Cargo.toml --target-dir target/review-3
