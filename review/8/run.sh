#!/usr/bin/env bash
# Needs the build line of deploy/system.toml and review/build-2.sh. TROUBLE=0 leaves out the disruption.
# Writes review/8/record.txt: what was sent, answered and run.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/egretcross ] && [ -x target/review-2/release/egret-review-2 ] || exit 2
exec target/review-2/release/egret-review-2 8 review/8/record.txt
