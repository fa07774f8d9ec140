#!/bin/sh
# Builds the programs that the cases 11 to 15 start beside those of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/kit3 ./review/_kit3
