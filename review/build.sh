#!/usr/bin/env bash
# Builds the stand-ins of the cases. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-kit ./review/_kit
