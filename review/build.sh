#!/bin/sh
# Builds the stand-ins of the scripted cases: the standard library only, no network, no dependency.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review || exit 2
exec rustc --edition 2021 -O --out-dir target/review --crate-name standins review/standins/main.rs
