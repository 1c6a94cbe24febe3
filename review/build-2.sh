#!/bin/sh
# Builds the stand-ins that the scripts of review/4/ to review/8/ start. Needs nothing but the Rust tool chain.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/stand-ins-2
