#!/usr/bin/env bash
# Measures the cost of the control plane and of requests per VM for several sizes
# of a deployment on loopback, and prints a report per run.
# Usage: slopes.sh idle VMS TARGETS SLICES [SECONDS]
#        slopes.sh mesh VMS TARGETS SLICES [SECONDS]   idle after requests opened all links
#        slopes.sh load VMS TARGETS SLICES RATE ANSWER_BYTES POST_SHARE [SECONDS]
#        slopes.sh sweep | sweep_load
# A run has at most 9 VMs, 58 targets and 30 s, and stops only its own processes.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/cluster.sh
BIN=$PWD/bin
CLUSTER=slopes REGIONS=(r1 r2 r3) DATA_CENTRES=(a b c d e f)
SERVICE_TIME=${SERVICE_TIME:-1ms}
MAX_VMS=9 MAX_TARGETS=58 MAX_SECONDS=30
# The loopback addresses differ from those of the other scripts, so that concurrent
# runs don't conflict.
vm_ip() { echo "127.77.$(((($1 - 1) / 3) + 1)).$((($1 - 1) % 3 + 1))"; }
target_ip() { echo "127.77.11.$2"; }

# start_deployment_vm N starts VM N of a deployment of $vms VMs. The first five VMs are
# voters, or the first three if there are fewer than five VMs.
start_deployment_vm() {
	local n=$1 ip peers="" voters=vm-1,vm-2,vm-3 i
	[ "$vms" -ge 5 ] && voters=vm-1,vm-2,vm-3,vm-4,vm-5
	ip=$(vm_ip "$n")
	for i in $(seq 1 "$vms"); do peers+="vm-$i=$(vm_ip "$i"):7001,"; done
	start_process "vm-$n" "$DIR/vm-$n.log" "$BIN/flamingoreeld" \
		--name "vm-$n" --region "${REGIONS[$(((n - 1) % 3))]}" --data-centre "${DATA_CENTRES[$((((n - 1) % 3) * 2 + ((n - 1) / 3) % 2))]}" \
		--cluster "$CLUSTER" --link-addr "$ip:7001" --caller-addr "$ip:8001" --admin-addr "$ip:9001" \
		--peers "${peers%,}" --voters "$voters" --bootstrap --data-dir "$DIR/vm-$n" --log-level warn
}

# write_text SLICES TARGETS writes the configuration text of one service.
write_text() {
	cat >"$DIR/text.yaml" <<-TEXT
		name: slopes
		regions:
		  - {name: r1, data_centres: [{name: a}, {name: b}]}
		  - {name: r2, data_centres: [{name: c}, {name: d}]}
		  - {name: r3, data_centres: [{name: e}, {name: f}]}
		services:
		  - {name: ledger, ownership: exclusive, slices: $1, endpoints: $2, slots: 6, weights: {churn: 1, balance: 1}}
		tenants:
		  - name: "*"
	TEXT
}

# get_admin N PATH prints the response of the admin API of VM N.
get_admin() { curl -sf -m 2 "http://$(vm_ip "$1"):9001/$2"; }
# put_text applies the configuration text through VM 1 as the first configuration.
put_text() {
	python3 -c 'import json,sys; print(json.dumps({"base": 0, "text": open(sys.argv[1]).read()}))' "$DIR/text.yaml" |
		curl -sf -m 6 -X PUT -H 'Content-Type: application/json' --data-binary @- "http://$(vm_ip 1):9001/v1/config"
}
all_owned() { get_admin 1 v1/status | python3 -c 'import json,sys; s=json.load(sys.stdin); sys.exit(0 if len(s["targets"])==int(sys.argv[1]) and s["slices"] and all(x["phase"]=="owned" for x in s["slices"]) else 1)' "$targets"; }
# save_metrics NAME saves the metrics of all VMs with the time of each reading.
save_metrics() {
	local n
	for n in $(seq 1 "$vms"); do
		get_admin "$n" metrics >"$DIR/$1-$n.txt"
		echo "slopes_read_seconds $(date +%s.%N)" >>"$DIR/$1-$n.txt"
	done
}

# start_deployment VMS TARGETS SLICES starts a deployment and waits until every
# slice has an owner.
start_deployment() {
	vms=$1 targets=$2 slices=$3
	if [ "$vms" -gt $MAX_VMS ] || [ "$targets" -gt $MAX_TARGETS ]; then echo "too large" >&2 && exit 2; fi
	DIR=$(mktemp -d)
	trap finish EXIT
	local n
	for n in $(seq 1 "$vms"); do start_deployment_vm "$n"; done
	set_vm_urls
	for n in $(seq 1 "$targets"); do
		start_process "ledger-$n" "$DIR/ledger-$n.log" "$BIN/standin" --id "ledger-$n" --service ledger \
			--data-centre "${DATA_CENTRES[$(((n - 1) % 6))]}" --addr "$(target_ip ledger "$n"):6001" \
			--announce "http://$(vm_ip 1):8001,http://$(vm_ip 2):8001" --slots 6 --service-time "$SERVICE_TIME" --cold-requests -1 --cold-factor 1
	done
	write_text "$slices" "$targets"
	wait_for 15 get_admin 1 v1/status
	wait_for 15 put_text
	wait_for 60 all_owned
	sleep "${SETTLE_SECONDS:-6}"
}
set_vm_urls() {
	local n
	caller_urls="" admin_urls=""
	for n in $(seq 1 "$vms"); do
		caller_urls+="http://$(vm_ip "$n"):8001,"
		admin_urls+="http://$(vm_ip "$n"):9001,"
	done
}
finish() {
	stop_all
	rm -rf "$DIR"
}
check_seconds() { if [ "$1" -gt $MAX_SECONDS ]; then echo "at most $MAX_SECONDS s" >&2 && exit 2; fi; }

# measure_idle VMS TARGETS SLICES [SECONDS] measures a deployment without requests.
measure_idle() {
	check_seconds "${4:-8}"
	start_deployment "$1" "$2" "$3"
	save_metrics first
	sleep "${4:-8}"
	save_metrics second
	python3 scripts/load/slopes.py "idle vms=$1 targets=$2 slices=$3" "$DIR" "$vms" "$(leader)"
}
# measure_mesh VMS TARGETS SLICES [SECONDS] is measure_idle after requests have made
# every entry VM open a link to every dispatcher.
measure_mesh() {
	check_seconds "${4:-8}"
	start_deployment "$1" "$2" "$3"
	"$BIN/flamingoreelbench" --entries "${caller_urls%,}" --streams "ledger:club-a:1:0:4000:0" --rate 200 --duration 4s >"$DIR/report.txt"
	sleep 2
	save_metrics first
	sleep "${4:-8}"
	save_metrics second
	python3 scripts/load/slopes.py "mesh vms=$1 targets=$2 slices=$3" "$DIR" "$vms" "$(leader)"
}
leader() { get_admin 1 v1/status | python3 -c 'import json,sys; print(json.load(sys.stdin)["leader"].removeprefix("vm-"))'; }
# print_slice_imbalance prints the largest number of slices of a target divided by
# the mean.
print_slice_imbalance() {
	get_admin 1 v1/status | python3 -c 'import collections,json,sys
n = collections.Counter(x["target"] for x in json.load(sys.stdin)["slices"])
print("  most slices of a target over the mean: %.2f" % (max(n.values()) * int(sys.argv[1]) / sum(n.values())))' "$targets"
}
# send_requests PATH POST_SHARE RATE SECONDS SEED sends requests to all VMs.
send_requests() {
	"$BIN/flamingoreelbench" --entries "${caller_urls%,}" --streams "ledger:club-a:1:$2:4000:0" --path "$1" \
		--rate "$3" --duration "$4s" --seed "$5" >"$DIR/report.txt" || true
}
# measure_load VMS TARGETS SLICES RATE ANSWER_BYTES POST_SHARE [SECONDS] measures a
# deployment under requests.
measure_load() {
	check_seconds "${7:-8}"
	start_deployment "$1" "$2" "$3"
	local path=/
	if [ "$5" -gt 0 ]; then path="/statement?bytes=$5"; fi
	print_slice_imbalance
	# A warm-up run that isn't measured takes the targets through the cold-start ramp.
	send_requests "$path" "$6" "$(($4 / 2))" 3 1
	save_metrics first
	send_requests "$path" "$6" "$4" "${7:-8}" 2
	save_metrics second
	python3 scripts/load/slopes.py "load vms=$1 targets=$2 slices=$3 rate=$4 answer=$5 posts=$6" "$DIR" "$vms" "$(leader)"
	grep -E '^(requests|latency|final)' "$DIR/report.txt"
}
# sweep_idle and sweep_load vary one parameter at a time.
sweep_idle() {
	local v t s
	for v in 3 5 9; do bash "$0" idle "$v" 29 256 6; done
	for t in 9 58; do bash "$0" idle 5 "$t" 256 6; done
	for s in 64 1024; do bash "$0" idle 9 29 "$s" 6; done
	for v in 6 9; do bash "$0" mesh "$v" 29 256 6; done
}
sweep_load() {
	local v t r s
	SERVICE_TIME=20ms bash "$0" load 5 9 256 1350 0 0 6
	for v in 3 5 9; do bash "$0" load "$v" 29 256 1000 0 0 6; done
	for t in 9 58; do bash "$0" load 5 "$t" 256 1000 0 0 6; done
	for r in 250 2000; do bash "$0" load 5 29 256 "$r" 0 0 6; done
	for s in 0 4096 65536; do bash "$0" load 5 29 256 500 "$s" 0 6; done
	bash "$0" load 5 29 256 500 0 1 6
}
case ${1:-} in
idle) measure_idle "${@:2}" ;;
mesh) measure_mesh "${@:2}" ;;
load) measure_load "${@:2}" ;;
sweep)
	sweep_idle
	sweep_load
	;;
sweep_load) sweep_load ;;
*) sed -n '2,9p' "$0" >&2 && exit 2 ;;
esac
