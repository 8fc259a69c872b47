#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. The project's programs are built by the command
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/probe/Cargo.toml --target-dir target/review-probe
