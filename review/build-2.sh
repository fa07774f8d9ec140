#!/usr/bin/env bash
# Builds the driver and the stand-ins of the review cases 6 to 10, after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1
go build -ldflags=-linkmode=external -o target/review-2 ./review/_kit2
