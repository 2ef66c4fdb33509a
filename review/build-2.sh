#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which use nothing but the standard library.
cd "$(dirname "$0")/.." && mkdir -p target/review-2 || exit 2
exec rustc --edition 2021 -O -o target/review-2/cases review/stand-ins-2/main.rs
