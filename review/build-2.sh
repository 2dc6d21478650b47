#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review2 -o target/review-2/standins ./review/standins-2
