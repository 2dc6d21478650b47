#!/usr/bin/env bash
# Runs the deployments zdbs and himal one after the other, each with three VMs in
# three regions and two targets per service, and demonstrates the guarantees.
# Every line begins with the duration of its step; the rest of the output is the
# same on every run and is compared with scripts/testdata/demo.golden by
# scripts/demo_check.sh. Needs bash, curl, awk and the programs in BIN.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-bin}
DIR=$(mktemp -d)
export LC_ALL=C

declare -A PID_OF
STEP_START=0
RESPONSE_BODY=$DIR/body
RESPONSE_HEADERS=$DIR/headers

now() { date +%s%N; }

# print_step TEXT... prints a line that begins with the time since the previous one.
print_step() {
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

# start_process NAME COMMAND... runs a process in the background and records its
# process ID in PID_OF[NAME].
start_process() {
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	PID_OF[$name]=$!
}

# stop_all sends SIGTERM to every process that this script started, and SIGKILL
# 0.2 s later.
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

# wait_until SECONDS ERROR COMMAND... retries a command every 20 ms until it
# succeeds; after the timeout the demo fails with ERROR.
wait_until() {
	local deadline=$(($(now) + $1 * 1000000000)) error=$2
	shift 2
	until "$@"; do
		[ "$(now)" -lt "$deadline" ] || fail "$error"
		sleep 0.02
	done
}

# request VM METHOD TENANT SERVICE KEY [CURL ARGUMENTS] sends one request,
# writes the response body to RESPONSE_BODY and its headers to RESPONSE_HEADERS,
# and prints the status.
request() {
	local vm=$1 method=$2 tenant=$3 service=$4 key=$5
	shift 5
	curl -s -m 5 -o "$RESPONSE_BODY" -D "$RESPONSE_HEADERS" -w '%{http_code}' -X "$method" "http://${CALLER[$vm]}/" \
		-H "Flamingoreel-Tenant: $tenant" -H "Flamingoreel-Service: $service" -H "Flamingoreel-Key: $key" "$@" || true
}

header() { awk -v name="$1" 'tolower($1) == tolower(name) ":" { sub(/\r$/, "", $2); print $2 }' "$RESPONSE_HEADERS"; }

ctl() { "$BIN/flamingoreelctl" --server "$ADMIN" "$@"; }

# key_served SERVICE succeeds if a GET of the key through the first VM returns 200.
key_served() { [ "$(request 0 GET "$TENANT" "$1" "$KEY")" = 200 ]; }

# owner_count_is N succeeds if exactly N targets own slices.
owner_count_is() { [ "$(ctl --timeout 1s status 2>/dev/null | awk '/^TARGET/ { on = 1; next } /^$/ { on = 0 } on && $NF > 0' | wc -l)" = "$1" ]; }

# target_address NAME prints the target's address, which no other target has.
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
		peers+=${DATA_CENTRES[i]}-1=127.1.$((i + 1)).1:7001,
		voters+=${DATA_CENTRES[i]}-1,
		ADMIN+=http://127.1.$((i + 1)).1:9001,
	done
	ADMIN=${ADMIN%,}
	for i in 0 1 2; do
		start_process "${DATA_CENTRES[i]}-1" "$BIN/flamingoreeld" \
			--name "${DATA_CENTRES[i]}-1" --region "${REGIONS[i]}" --data-centre "${DATA_CENTRES[i]}" --cluster "$CLUSTER" \
			--link-addr "127.1.$((i + 1)).1:7001" --caller-addr "${CALLER[i]}" --admin-addr "127.1.$((i + 1)).1:9001" \
			--peers "${peers%,}" --voters "${voters%,}" --data-dir "$DIR/$CLUSTER-$i" --bootstrap
	done
}

# start_target NAME SERVICE DATA-CENTRE SLOTS starts a stand-in target.
start_target() {
	start_process "$1" "$BIN/standin" --id "$1" --service "$2" --data-centre "$3" --slots "$4" --cold-requests 5 \
		--addr "$(target_address "$1")" --announce "http://${CALLER[0]},http://${CALLER[1]},http://${CALLER[2]}"
}

ready() { curl -s -m 1 -o "$RESPONSE_BODY" "${ADMIN##*,}/v1/config" && ctl --timeout 1s status 2>/dev/null | grep -q '^leader [^u]'; }

# records_ready succeeds if the record holders accept non-idempotent requests.
# VMs that just started refuse them: a previous process may have recorded the
# request's idempotency key.
records_ready() {
	local sent
	sent=$(date +%s%3N)
	[ "$(request 0 POST "$TENANT" "$SERVICE" probe -d '{}' -H "Idempotency-Key: probe-$sent" -H "Flamingoreel-First-Sent: $sent")" = 200 ]
}

# show_idempotency AMOUNT sends two POST requests with the same idempotency key
# through two VMs and checks that the request ran once.
show_idempotency() {
	local first second amount=$1 sent body
	sent=$(date +%s%3N)
	body=(-d "{\"amount\": $amount}" -H "Idempotency-Key: posting-1" -H "Flamingoreel-First-Sent: $sent")
	first=$(request 0 POST "$TENANT" "$SERVICE" "$KEY" "${body[@]}")
	cp "$RESPONSE_BODY" "$DIR/first"
	print_step "POST through ${DATA_CENTRES[0]}-1: status $first, outcome $(header Flamingoreel-Outcome), $(cat "$RESPONSE_BODY")"
	second=$(request 1 POST "$TENANT" "$SERVICE" "$KEY" "${body[@]}")
	print_step "POST again through ${DATA_CENTRES[1]}-1: status $second, outcome $(header Flamingoreel-Outcome), $(cat "$RESPONSE_BODY")"
	cmp -s "$RESPONSE_BODY" "$DIR/first" || fail "the two responses differ"
	[ "$first" = 200 ] && [ "$second" = 200 ] || fail "a POST request was not answered with status 200"
	second=$(request 2 GET "$TENANT" "$SERVICE" "$KEY")
	print_step "GET through ${DATA_CENTRES[2]}-1: status $second, $(cat "$RESPONSE_BODY")"
	grep -q '"postings":1}' "$RESPONSE_BODY" || fail "the POST request did not run exactly once"
}

# show_refusals sends requests that must be refused.
show_refusals() {
	local status
	status=$(request 0 GET "$HOME_TENANT" "$SERVICE" "$KEY")
	print_step "GET of $HOME_TENANT outside its home region: status $status, outcome $(header Flamingoreel-Outcome), $(header Flamingoreel-Error-Kind)"
	status=$(request 0 GET "$TENANT" nothing "$KEY")
	print_step "GET of an unknown service: status $status, outcome $(header Flamingoreel-Outcome), $(header Flamingoreel-Error-Kind)"
	status=$(request 0 POST "$TENANT" "$SERVICE" "$KEY" -d '{}' -H "Idempotency-Key: old" -H "Flamingoreel-First-Sent: 1")
	print_step "POST first sent long ago: status $status, outcome $(header Flamingoreel-Outcome), $(header Flamingoreel-Error-Kind)"
}

# show_data_centre_out takes the data centre of the key's owner out by a change of
# the configuration text, counts the requests that still run there, and brings it
# back.
show_data_centre_out() {
	local owner centre before after answered=0 i service
	key_served "$SERVICE" || fail "the key is not served"
	owner=$(header X-Standin-Target)
	centre=${DATA_CENTRE_OF[$owner]}
	sed "s/name: $centre, state: in/name: $centre, state: out/" "$DIR/text.yaml" >"$DIR/out.yaml"
	ctl apply "$DIR/out.yaml" >"$DIR/applied" || fail "the change was refused"
	print_step "data centre of the key's owner taken out: $(cat "$DIR/applied")"
	wait_until 10 "the targets did not move" owner_count_is 2
	print_step "its targets own no keys any more"
	before=$(centre_executions "$centre")
	for i in $(seq 25); do
		for service in "$SERVICE" "$OTHER_SERVICE"; do
			[ "$(request $((i % 3)) GET "$TENANT" "$service" "$KEY-$i")" = 200 ] && answered=$((answered + 1))
		done
	done
	after=$(centre_executions "$centre")
	print_step "$answered of 50 requests answered, $((after - before)) of them in the data centre that is out"
	[ "$after" = "$before" ] && [ "$answered" = 50 ] || fail "a request was not answered, or ran in the data centre that is out"
	ctl apply "$DIR/text.yaml" >"$DIR/applied" || fail "the change was refused"
	print_step "data centre brought back: $(cat "$DIR/applied")"
	wait_until 10 "the targets do not own keys again" owner_count_is 4
	print_step "its targets own keys again"
}

# centre_executions DATA-CENTRE prints how many requests its targets ran.
centre_executions() {
	local name sum=0
	for name in "${!DATA_CENTRE_OF[@]}"; do
		[ "${DATA_CENTRE_OF[$name]}" != "$1" ] || sum=$((sum + $(executions "$name")))
	done
	echo "$sum"
}

# show_target_loss kills the target that owns the key and waits until the key is
# served again.
show_target_loss() {
	local owner
	wait_until 5 "the key is not served" key_served "$SERVICE"
	owner=$(header X-Standin-Target)
	STEP_START=$(now)
	kill -KILL "${PID_OF[$owner]}"
	wait "${PID_OF[$owner]}" 2>/dev/null || true
	wait_until 10 "the key is not served after the loss" key_served "$SERVICE"
	print_step "owner of the key killed: served again by another target"
	[ "$(header X-Standin-Target)" != "$owner" ] || fail "the killed target answered"
}

# run_deployment runs the deployment CLUSTER with the configuration text in examples.
run_deployment() {
	local i service
	print_step "$CLUSTER: starting 3 VMs in 3 regions"
	start_vms
	wait_until 10 "no control leader" ready
	print_step "control leader elected"
	cp "examples/$CLUSTER.yaml" "$DIR/text.yaml"
	ctl apply "$DIR/text.yaml" >"$DIR/applied" || fail "the text was refused"
	print_step "text applied: $(cat "$DIR/applied")"
	for service in "$SERVICE" "$OTHER_SERVICE"; do
		for i in 0 1; do start_target "$service-$((i + 1))" "$service" "${DATA_CENTRES[i]}" "$SLOTS"; done
	done
	wait_until 10 "the targets own no keys" owner_count_is 4
	for service in "$SERVICE" "$OTHER_SERVICE"; do
		wait_until 10 "$service is not served" key_served "$service"
	done
	print_step "2 targets of $SERVICE and 2 of $OTHER_SERVICE own keys"
	wait_until 20 "the record holders accept no request" records_ready
	print_step "record holders accept non-idempotent requests"
	show_idempotency "$AMOUNT"
	show_refusals
	show_data_centre_out
	show_target_loss
	stop_all
	print_step "$CLUSTER: stopped"
}

STEP_START=$(now)
declare -a CALLER
declare -A INDEX_OF DATA_CENTRE_OF

CLUSTER=zdbs TENANT=pd-celje HOME_TENANT=pd-ptuj KEY=member-17 AMOUNT=2500 SLOTS=6
SERVICE=ledger OTHER_SERVICE=reporting
REGIONS=(osrednja stajerska primorska) DATA_CENTRES=(lj-a mb-a kp-a)
INDEX_OF=([ledger-1]=1 [ledger-2]=2 [reporting-1]=3 [reporting-2]=4)
DATA_CENTRE_OF=([ledger-1]=lj-a [ledger-2]=mb-a [reporting-1]=lj-a [reporting-2]=mb-a)
run_deployment

CLUSTER=himal TENANT=shop-thamel HOME_TENANT=shop-pokhara KEY=tip-8mm AMOUNT=12 SLOTS=4
SERVICE=spares-desk OTHER_SERVICE=fit-catalogue
REGIONS=(bagmati gandaki koshi) DATA_CENTRES=(thamel lakeside dharan)
INDEX_OF=([spares-desk-1]=1 [spares-desk-2]=2 [fit-catalogue-1]=3 [fit-catalogue-2]=4)
DATA_CENTRE_OF=([spares-desk-1]=thamel [spares-desk-2]=lakeside [fit-catalogue-1]=thamel [fit-catalogue-2]=lakeside)
run_deployment
