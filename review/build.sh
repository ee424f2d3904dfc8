#!/bin/sh
# Builds the stand-ins that the scripts of the cases start; they need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
