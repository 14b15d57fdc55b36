#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/standin/main.rs
