#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
