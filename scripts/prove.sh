#!/usr/bin/env bash
# Runs the commands of each row of docs/proofs.md and prints one line per row: its
# number, its name and pass, fail or "not proved" (the row has no command). The
# commands are read from the page: every code span of a row that begins with
# "go test" or is "make demo-check". Standard output depends only on the results;
# failed commands and the end of their output go to standard error. Exits with 1
# if a row fails. Usage: prove.sh [NUMBER...] runs only the rows with these numbers.
set -euo pipefail
cd "$(dirname "$0")/.."
PAGE=docs/proofs.md
# The page gives results for this seed; other values of these variables would run
# other cases.
export FLAMINGOREEL_TEST_SEED=1 LC_ALL=C
unset FLAMINGOREEL_SOAK_SEEDS FLAMINGOREEL_INTERLEAVING FLAMINGOREEL_TRACE GOFLAGS

log=$(mktemp)
trap 'rm -f "$log"' EXIT
declare -A RESULT

# rows prints the rows of the page as NUMBER|NAME|REST.
rows() { sed -nE 's/^\| ([A-Z][0-9]+) \| ([^|]*) \| (.*) \|$/\1|\2|\3/p' "$PAGE"; }

# commands ROW prints the commands of a row, one per line.
commands() { grep -oE '`(go test|make demo-check)[^`]*`' <<<"$1" | tr -d '`' || true; }

# passed_in_log COMMAND succeeds if the log has a PASS line at the subtest depth of
# the -run pattern. The exit code of go test isn't enough: it is also 0 if the
# pattern matches no test or subtest.
passed_in_log() {
	local slashes
	[[ $1 == "go test"* ]] || return 0
	slashes=$(sed -E "s/.*-run '([^']*)'.*/\1/" <<<"$1" | tr -cd / | wc -c)
	grep -qE "^ {$((4 * slashes))}--- PASS: " "$log" && ! grep -q 'no tests to run' "$log"
}

# run_once COMMAND runs a command unless an earlier row ran it, and stores the result
# in RESULT. xargs splits the command into words: it handles quotes and expands
# nothing.
run_once() {
	local command=$1 words
	[ -z "${RESULT[$command]:-}" ] || return 0
	mapfile -t words < <(xargs -n1 printf '%s\n' <<<"${command/#go test/go test -v}")
	if "${words[@]}" >"$log" 2>&1 && passed_in_log "$command"; then
		RESULT[$command]=pass
		return
	fi
	RESULT[$command]=fail
	echo "failed: $command" >&2
	tail -n 30 "$log" >&2
}

# check_row NUMBER NAME REST runs the commands of a row and prints its line. It
# returns 1 if one of them fails.
check_row() {
	local number=$1 name=$2 rest=$3 result=pass command list
	list=$(commands "$rest")
	[ -n "$list" ] || result="not proved"
	while read -r command; do
		[ -n "$command" ] || continue
		run_once "$command"
		[ "${RESULT[$command]}" = pass ] || result=fail
	done <<<"$list"
	printf '%-4s %s: %s\n' "$number" "$name" "$result"
	[ "$result" != fail ]
}

code=0 count=0
while IFS='|' read -r number name rest <&3; do
	[ $# = 0 ] || [[ " $* " == *" $number "* ]] || continue
	count=$((count + 1))
	check_row "$number" "$name" "$rest" || code=1
done 3< <(rows)
if [ "$count" = 0 ]; then
	echo "no rows in $PAGE" >&2
	exit 1
fi
exit "$code"
