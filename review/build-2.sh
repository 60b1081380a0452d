#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/release, without a network. The daemons come
# from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-2/Cargo.toml --target-dir target
