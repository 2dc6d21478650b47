#!/usr/bin/env bash
# Compares the output of the demo, without the durations, with the golden file.
# With -update it rewrites the golden file instead.
set -euo pipefail
cd "$(dirname "$0")/.."
GOLDEN=scripts/testdata/demo.golden

got=$(mktemp)
trap 'rm -f "$got"' EXIT
./scripts/demo.sh | sed 's/^\[ *[0-9]* ms\] //' >"$got"
if [ "${1:-}" = -update ]; then
	mkdir -p "$(dirname "$GOLDEN")"
	cp "$got" "$GOLDEN"
	exit
fi
diff -u "$GOLDEN" "$got"
echo "the demo output matches $GOLDEN"
