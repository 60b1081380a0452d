#!/usr/bin/env bash
# Checks the format, runs the linter with warnings as errors, then all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
# The system tests start the binaries, which `cargo test` alone does not build.
cargo build --workspace --bins --locked
cargo test --workspace --locked
