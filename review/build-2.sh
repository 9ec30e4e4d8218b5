#!/bin/sh
# Builds the stand-ins of this review: one program, which every script in review/4 to review/8 starts.
set -e
cd "$(dirname "$0")/standins-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --offline
