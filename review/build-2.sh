#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up: one program for each case, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O "$source" -o "target/review-2/$name"
done
