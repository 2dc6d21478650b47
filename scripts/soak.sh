#!/usr/bin/env bash
# Runs the property tests with FLAMINGOREEL_SOAK_SEEDS seeds (default 20),
# starting at FLAMINGOREEL_TEST_SEED (default 1), and prints for each failure the
# command that repeats the test with its seed. PACKAGES limits the run to some
# packages, for example PACKAGES="./internal/record". Exits with 1 if a test fails.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
seeds=${FLAMINGOREEL_SOAK_SEEDS:-20}
first=${FLAMINGOREEL_TEST_SEED:-1}
# Some packages read this variable as the number of cases per seed. It is unset
# so that each seed runs the default number of cases.
unset FLAMINGOREEL_SOAK_SEEDS

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# property_tests prints "PACKAGE TEST" for each test in a file that uses gopter.
property_tests() {
	local file
	for file in $(git grep -l leanovate/gopter -- 'internal/*_test.go' | sort); do
		sed -nE "s|^func (Test[A-Za-z0-9_]*)\(.*|./$(dirname "$file") \1|p" "$file"
	done
}

code=0
while read -r package test <&3; do
	[ -z "${PACKAGES:-}" ] || [[ " $PACKAGES " == *" $package "* ]] || continue
	binary=$dir/${package##*/}.test
	[ -x "$binary" ] || "$GO" test -c -o "$binary" "$package"
	failed=0
	for ((seed = first; seed < first + seeds; seed++)); do
		if ! (cd "$package" && FLAMINGOREEL_TEST_SEED=$seed "$binary" -test.run "^$test\$" -test.count 1 >"$dir/log" 2>&1); then
			failed=$((failed + 1))
			echo "failed: FLAMINGOREEL_TEST_SEED=$seed go test -count=1 -run '^$test\$' $package"
			tail -n 30 "$dir/log" >&2
		fi
	done
	echo "$package $test: $((seeds - failed)) of $seeds seeds passed"
	[ "$failed" = 0 ] || code=1
done 3< <(property_tests)
exit "$code"
