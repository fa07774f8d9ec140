#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-2 ] && [ -x target/figmast-gateway ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
export REVIEW_SETTINGS_VARIABLE=FIGMAST_BOOT
exec target/review-2 stop "$here/record.txt"
