#!/usr/bin/env bash
# Builds the daemon. Cargo takes a source file for unchanged if it is older than the build, so in a folder with the build
# of other sources it may keep their program. The stamp holds digests of the sources and of the program that was built
# from them; unless both match, the sources are marked as changed.
set -euo pipefail
cd "$(dirname "$0")/.."
program=target/release/parsleywalkd
stamp=$program.stamp

sources() { find Cargo.toml Cargo.lock crates platform -type f \( -name '*.rs' -o -name Cargo.toml -o -name Cargo.lock \) -print0; }
digests() { sources | sort -z | xargs -0 sha256sum | sha256sum && sha256sum "$program"; }

if [ ! -e "$program" ] || [ "$(digests)" != "$(cat "$stamp" 2>/dev/null)" ]; then
  sources | xargs -0 touch
fi
cargo build --release --locked -p parsleywalkd
digests >"$stamp"
