#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/harness"
exec cargo build --release --offline --locked --target-dir ../../target/review
