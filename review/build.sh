#!/bin/sh
# Builds the stand-ins and the drivers of all cases, without a network.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
