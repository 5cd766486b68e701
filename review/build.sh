#!/bin/sh
# Builds the stand-ins that the scripts of review/ start. They need the standard library only; the worker itself is built by the
# command of the deploy file before this.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O --crate-name standins -o target/review/standins review/standins/main.rs
