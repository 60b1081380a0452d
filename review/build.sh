#!/bin/sh
# Builds the stand-ins of the review's scripts. The programs that the scripts start come from the
# build of deploy/system.toml, which has to run before.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/stand/Cargo.toml --target-dir target
