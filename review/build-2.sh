#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The sender itself is built by the deploy file's `build`.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/rig.rs
