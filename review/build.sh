#!/usr/bin/env bash
# Builds the stand-ins of all cases, each a program of its own with the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*/case.rs; do
  rustc --edition 2024 -O -o "bin/case-$(dirname "$case")" "$case"
done
