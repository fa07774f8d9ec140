#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-kit ] && [ -x target/figmast-gateway ] || { echo "run the build of the deploy file and review/build.sh first" >&2; exit 2; }
export REVIEW_RECORD="$PWD/review/4/record.txt" REVIEW_SETTINGS_VARIABLE=FIGMAST_BOOT
exec target/review-kit readers-cut-server-leaves
