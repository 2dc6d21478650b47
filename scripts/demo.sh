#!/usr/bin/env bash
# Runs both users' deployments one after the other, each with three VMs in
# three regions and two targets per service, and shows the guarantees at work.
# Every line begins with the time that its step took; the rest of the output is
# the same on every run and is compared with scripts/testdata/demo.golden by
# scripts/demo_check.sh. Needs bash, curl, awk and the programs in BIN.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-bin}
DIR=$(mktemp -d)
export LC_ALL=C

declare -A PID_OF
STEP_START=0
ANSWER=$DIR/answer
HEADERS=$DIR/headers

now() { date +%s%N; }

# say prints a line after the time since the last one.
say() {
	local end
	end=$(now)
	printf '[%6d ms] %s\n' $(((end - STEP_START) / 1000000)) "$*"
	STEP_START=$(now)
}

fail() {
	echo "demo failed: $*" >&2
	ctl --timeout 1s status >&2 || true
	for log in "$DIR"/*.log; do
		echo "--- ${log##*/}" >&2
		tail -n 5 "$log" >&2
	done
	exit 1
}

# start_process NAME COMMAND... runs a process in the background.
start_process() {
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	PID_OF[$name]=$!
}

# stop_all ends every process that this script started.
stop_all() {
	local pid
	for pid in "${PID_OF[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	sleep 0.2
	for pid in "${PID_OF[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	PID_OF=()
}

finish() {
	local code=$?
	trap - EXIT
	stop_all
	rm -rf "$DIR"
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

# until_true SECONDS WHAT COMMAND... repeats a command until it succeeds.
until_true() {
	local limit=$(($(now) + $1 * 1000000000)) what=$2
	shift 2
	until "$@"; do
		[ "$(now)" -lt "$limit" ] || fail "$what"
		sleep 0.02
	done
}

# request VM METHOD TENANT SERVICE KEY [CURL ARGUMENTS] sends one request,
# writes the body to ANSWER and the headers to HEADERS, and prints the status.
request() {
	local vm=$1 method=$2 tenant=$3 service=$4 key=$5
	shift 5
	curl -s -m 5 -o "$ANSWER" -D "$HEADERS" -w '%{http_code}' -X "$method" "http://${CALLER[$vm]}/" \
		-H "Flamingoreel-Tenant: $tenant" -H "Flamingoreel-Service: $service" -H "Flamingoreel-Key: $key" "$@" || true
}

header() { awk -v name="$1" 'tolower($1) == tolower(name) ":" { sub(/\r$/, "", $2); print $2 }' "$HEADERS"; }

ctl() { "$BIN/flamingoreelctl" --server "$ADMIN" "$@"; }

# served SERVICE tells whether the key is served through the first VM.
served() { [ "$(request 0 GET "$TENANT" "$1" "$KEY")" = 200 ]; }

# owning N tells whether N targets own slices.
owning() { [ "$(ctl --timeout 1s status 2>/dev/null | awk '/^TARGET/ { on = 1; next } /^$/ { on = 0 } on && $NF > 0' | wc -l)" = "$1" ]; }

# target_address NAME gives each target an address of its own.
target_address() { echo "127.1.10.${INDEX_OF[$1]}:6001"; }

# executions NAME prints how many requests a target ran.
executions() {
	curl -s -m 5 "http://$(target_address "$1")/standin/report" | sed 's/.*"total":\([0-9]*\).*/\1/'
}

start_vms() {
	local i peers="" voters=""
	ADMIN=""
	for i in 0 1 2; do
		CALLER[i]=127.1.$((i + 1)).1:8001
		peers+=${CENTRES[i]}-1=127.1.$((i + 1)).1:7001,
		voters+=${CENTRES[i]}-1,
		ADMIN+=http://127.1.$((i + 1)).1:9001,
	done
	ADMIN=${ADMIN%,}
	for i in 0 1 2; do
		start_process "${CENTRES[i]}-1" "$BIN/flamingoreeld" \
			--name "${CENTRES[i]}-1" --region "${REGIONS[i]}" --data-centre "${CENTRES[i]}" --cluster "$CLUSTER" \
			--link-addr "127.1.$((i + 1)).1:7001" --caller-addr "${CALLER[i]}" --admin-addr "127.1.$((i + 1)).1:9001" \
			--peers "${peers%,}" --voters "${voters%,}" --data-dir "$DIR/$CLUSTER-$i" --bootstrap
	done
}

# start_target NAME SERVICE DATA-CENTRE SLOTS
start_target() {
	start_process "$1" "$BIN/standin" --id "$1" --service "$2" --data-centre "$3" --slots "$4" --cold-requests 5 \
		--addr "$(target_address "$1")" --announce "http://${CALLER[0]},http://${CALLER[1]},http://${CALLER[2]}"
}

ready() { curl -s -m 1 -o "$ANSWER" "${ADMIN##*,}/v1/config" && ctl --timeout 1s status 2>/dev/null | grep -q '^leader [^u]'; }

# recording tells whether the record holders accept non-idempotent requests.
# VMs that just started refuse them: an earlier process may have known the ID.
recording() {
	local sent
	sent=$(date +%s%3N)
	[ "$(request 0 POST "$TENANT" "$SERVICE" probe -d '{}' -H "Idempotency-Key: probe-$sent" -H "Flamingoreel-First-Sent: $sent")" = 200 ]
}

# show_once posts with one idempotency key through two VMs.
show_once() {
	local first second amount=$1 sent body
	sent=$(date +%s%3N)
	body=(-d "{\"amount\": $amount}" -H "Idempotency-Key: posting-1" -H "Flamingoreel-First-Sent: $sent")
	first=$(request 0 POST "$TENANT" "$SERVICE" "$KEY" "${body[@]}")
	cp "$ANSWER" "$DIR/first"
	say "POST through ${CENTRES[0]}-1: status $first, outcome $(header Flamingoreel-Outcome), $(cat "$ANSWER")"
	second=$(request 1 POST "$TENANT" "$SERVICE" "$KEY" "${body[@]}")
	say "POST again through ${CENTRES[1]}-1: status $second, outcome $(header Flamingoreel-Outcome), $(cat "$ANSWER")"
	cmp -s "$ANSWER" "$DIR/first" || fail "the two answers differ"
	[ "$first" = 200 ] && [ "$second" = 200 ] || fail "a posting was not answered"
	second=$(request 2 GET "$TENANT" "$SERVICE" "$KEY")
	say "GET through ${CENTRES[2]}-1: status $second, $(cat "$ANSWER")"
	grep -q '"postings":1}' "$ANSWER" || fail "the posting did not run once"
}

# show_refusals sends requests that may not run.
show_refusals() {
	local status
	status=$(request 0 GET "$HOME_TENANT" "$SERVICE" "$KEY")
	say "GET of $HOME_TENANT outside its home region: status $status, outcome $(header Flamingoreel-Outcome), $(header Flamingoreel-Error-Kind)"
	status=$(request 0 GET "$TENANT" nothing "$KEY")
	say "GET of an unknown service: status $status, outcome $(header Flamingoreel-Outcome), $(header Flamingoreel-Error-Kind)"
	status=$(request 0 POST "$TENANT" "$SERVICE" "$KEY" -d '{}' -H "Idempotency-Key: old" -H "Flamingoreel-First-Sent: 1")
	say "POST first sent long ago: status $status, outcome $(header Flamingoreel-Outcome), $(header Flamingoreel-Error-Kind)"
}

# show_data_centre takes the owner's data centre out through the text, counts
# new work there, and brings it back.
show_data_centre() {
	local owner centre before after answered=0 i service
	served "$SERVICE" || fail "the key is not served"
	owner=$(header X-Standin-Target)
	centre=${CENTRE_OF[$owner]}
	sed "s/name: $centre, state: in/name: $centre, state: out/" "$DIR/text.yaml" >"$DIR/out.yaml"
	ctl apply "$DIR/out.yaml" >"$DIR/applied" || fail "the change was refused"
	say "data centre of the key's owner taken out: $(cat "$DIR/applied")"
	until_true 10 "the targets did not move" owning 2
	say "its targets own no keys any more"
	before=$(centre_executions "$centre")
	for i in $(seq 25); do
		for service in "$SERVICE" "$OTHER_SERVICE"; do
			[ "$(request $((i % 3)) GET "$TENANT" "$service" "$KEY-$i")" = 200 ] && answered=$((answered + 1))
		done
	done
	after=$(centre_executions "$centre")
	say "$answered of 50 requests answered, $((after - before)) of them in the data centre that is out"
	[ "$after" = "$before" ] && [ "$answered" = 50 ] || fail "work went to a data centre that is out"
	ctl apply "$DIR/text.yaml" >"$DIR/applied" || fail "the change was refused"
	say "data centre brought back: $(cat "$DIR/applied")"
	until_true 10 "the targets do not own keys again" owning 4
	say "its targets own keys again"
}

# centre_executions prints how many requests the targets of a data centre ran.
centre_executions() {
	local name sum=0
	for name in "${!CENTRE_OF[@]}"; do
		[ "${CENTRE_OF[$name]}" != "$1" ] || sum=$((sum + $(executions "$name")))
	done
	echo "$sum"
}

# show_loss kills the key's owner and waits until the key is served again.
show_loss() {
	local owner
	until_true 5 "the key is not served" served "$SERVICE"
	owner=$(header X-Standin-Target)
	STEP_START=$(now)
	kill -KILL "${PID_OF[$owner]}"
	wait "${PID_OF[$owner]}" 2>/dev/null || true
	until_true 10 "the key is not served after the loss" served "$SERVICE"
	say "owner of the key killed: served again by another target"
	[ "$(header X-Standin-Target)" != "$owner" ] || fail "the killed target answered"
}

# run_user runs one deployment from its example text.
run_user() {
	local i service
	say "$CLUSTER: starting 3 VMs in 3 regions"
	start_vms
	until_true 10 "no control leader" ready
	say "control leader elected"
	cp "examples/$CLUSTER.yaml" "$DIR/text.yaml"
	ctl apply "$DIR/text.yaml" >"$DIR/applied" || fail "the text was refused"
	say "text applied: $(cat "$DIR/applied")"
	for service in "$SERVICE" "$OTHER_SERVICE"; do
		for i in 0 1; do start_target "$service-$((i + 1))" "$service" "${CENTRES[i]}" "$SLOTS"; done
	done
	until_true 10 "the targets own no keys" owning 4
	for service in "$SERVICE" "$OTHER_SERVICE"; do
		until_true 10 "$service is not served" served "$service"
	done
	say "2 targets of $SERVICE and 2 of $OTHER_SERVICE own keys"
	until_true 20 "the record holders accept no request" recording
	say "record holders accept non-idempotent requests"
	show_once "$AMOUNT"
	show_refusals
	show_data_centre
	show_loss
	stop_all
	say "$CLUSTER: stopped"
}

STEP_START=$(now)
declare -a CALLER
declare -A INDEX_OF CENTRE_OF

CLUSTER=zdbs TENANT=pd-celje HOME_TENANT=pd-ptuj KEY=member-17 AMOUNT=2500 SLOTS=6
SERVICE=ledger OTHER_SERVICE=reporting
REGIONS=(osrednja stajerska primorska) CENTRES=(lj-a mb-a kp-a)
INDEX_OF=([ledger-1]=1 [ledger-2]=2 [reporting-1]=3 [reporting-2]=4)
CENTRE_OF=([ledger-1]=lj-a [ledger-2]=mb-a [reporting-1]=lj-a [reporting-2]=mb-a)
run_user

CLUSTER=himal TENANT=shop-thamel HOME_TENANT=shop-pokhara KEY=tip-8mm AMOUNT=12 SLOTS=4
SERVICE=spares-desk OTHER_SERVICE=fit-catalogue
REGIONS=(bagmati gandaki koshi) CENTRES=(thamel lakeside dharan)
INDEX_OF=([spares-desk-1]=1 [spares-desk-2]=2 [fit-catalogue-1]=3 [fit-catalogue-2]=4)
CENTRE_OF=([spares-desk-1]=thamel [spares-desk-2]=lakeside [fit-catalogue-1]=thamel [fit-catalogue-2]=lakeside)
run_user
