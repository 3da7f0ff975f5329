#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 6 to 10. Needs no network: the package has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
