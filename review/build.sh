#!/bin/sh
# Builds the stand-ins of the scripts, which need only the standard library.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
exec rustc --edition 2024 -O review/stand-ins/main.rs -o target/review/stand-ins
