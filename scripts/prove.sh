#!/usr/bin/env bash
# Reruns the rows of docs/proofs.md and prints one line for each: its number,
# its name and pass, fail or "not proved". The commands are read from the page:
# every code span of a row that begins with "go test" or is "make demo-check".
# Standard output is the same on every run with the same results; the commands
# and the output of failing tests go to standard error. Exits with 1 if a row
# fails. Usage: prove.sh [NUMBER...] reruns only the rows of these numbers.
set -euo pipefail
cd "$(dirname "$0")/.."
PAGE=docs/proofs.md
# The page names results of this seed; other settings would run other cases.
export FLAMINGOREEL_TEST_SEED=1 LC_ALL=C
unset FLAMINGOREEL_SOAK_SEEDS FLAMINGOREEL_INTERLEAVING FLAMINGOREEL_TRACE GOFLAGS

log=$(mktemp)
trap 'rm -f "$log"' EXIT
declare -A RESULT

# rows prints the rows of the page as NUMBER|NAME|REST.
rows() { sed -nE 's/^\| ([A-Z][0-9]+) \| ([^|]*) \| (.*) \|$/\1|\2|\3/p' "$PAGE"; }

# commands prints the commands of a row, one a line.
commands() { grep -oE '`(go test|make demo-check)[^`]*`' <<<"$1" | tr -d '`' || true; }

# ran tells whether the log shows a pass at the depth of the -run pattern: a
# pattern that matches no test or subtest also ends with exit code 0.
ran() {
	local slashes
	[[ $1 == "go test"* ]] || return 0
	slashes=$(sed -E "s/.*-run '([^']*)'.*/\1/" <<<"$1" | tr -cd / | wc -c)
	grep -qE "^ {$((4 * slashes))}--- PASS: " "$log" && ! grep -q 'no tests to run' "$log"
}

# run executes a command once and remembers its result. The words of a command
# are split by xargs, which knows quotes and expands nothing.
run() {
	local command=$1 words
	[ -z "${RESULT[$command]:-}" ] || return 0
	mapfile -t words < <(xargs -n1 printf '%s\n' <<<"${command/#go test/go test -v}")
	if "${words[@]}" >"$log" 2>&1 && ran "$command"; then
		RESULT[$command]=pass
		return
	fi
	RESULT[$command]=fail
	echo "failed: $command" >&2
	tail -n 30 "$log" >&2
}

# prove runs a row and prints its line.
prove() {
	local number=$1 name=$2 rest=$3 result=pass command list
	list=$(commands "$rest")
	[ -n "$list" ] || result="not proved"
	while read -r command; do
		[ -n "$command" ] || continue
		run "$command"
		[ "${RESULT[$command]}" = pass ] || result=fail
	done <<<"$list"
	printf '%-4s %s: %s\n' "$number" "$name" "$result"
	[ "$result" != fail ]
}

code=0 count=0
while IFS='|' read -r number name rest <&3; do
	[ $# = 0 ] || [[ " $* " == *" $number "* ]] || continue
	count=$((count + 1))
	prove "$number" "$name" "$rest" || code=1
done 3< <(rows)
if [ "$count" = 0 ]; then
	echo "no rows in $PAGE" >&2
	exit 1
fi
exit "$code"
