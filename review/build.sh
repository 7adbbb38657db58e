#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
