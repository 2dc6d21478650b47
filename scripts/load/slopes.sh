#!/usr/bin/env bash
# Measures what one VM spends on control and on requests at several sizes of a
# deployment on loopback, and prints one line per run.
# Usage: slopes.sh idle VMS TARGETS SLICES [SECONDS]
#        slopes.sh mesh VMS TARGETS SLICES [SECONDS]   idle after requests opened all links
#        slopes.sh load VMS TARGETS SLICES RATE ANSWER_BYTES POST_SHARE [SECONDS]
#        slopes.sh sweep | sweep_load
# A run has at most 9 VMs, 58 targets and 30 s, and ends only what it started.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/cluster.sh
BIN=$PWD/bin
CLUSTER=slopes REGIONS=(r1 r2 r3) DATA_CENTRES=(a b c d e f)
SERVICE_TIME=${SERVICE_TIME:-1ms}
MAX_VMS=9 MAX_TARGETS=58 MAX_SECONDS=30
# Loopback networks apart from those of the other scripts, so that runs of
# both at the same time do not meet.
vm_ip() { echo "127.77.$(((($1 - 1) / 3) + 1)).$((($1 - 1) % 3 + 1))"; }
target_ip() { echo "127.77.11.$2"; }

# start_voting_vm N is start_vm for a deployment of $vms VMs.
start_voting_vm() {
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

# admin N PATH reads an admin page of VM N.
admin() { curl -sf -m 2 "http://$(vm_ip "$1"):9001/$2"; }
# put_text puts the text in force.
put_text() {
	python3 -c 'import json,sys; print(json.dumps({"base": 0, "text": open(sys.argv[1]).read()}))' "$DIR/text.yaml" |
		curl -sf -m 6 -X PUT -H 'Content-Type: application/json' --data-binary @- "http://$(vm_ip 1):9001/v1/config"
}
all_owned() { admin 1 v1/status | python3 -c 'import json,sys; s=json.load(sys.stdin); sys.exit(0 if len(s["targets"])==int(sys.argv[1]) and s["slices"] and all(x["phase"]=="owned" for x in s["slices"]) else 1)' "$targets"; }
# sample NAME saves the metrics of all VMs with the time of the reading.
sample() {
	local n
	for n in $(seq 1 "$vms"); do
		admin "$n" metrics >"$DIR/$1-$n.txt"
		echo "slopes_read_seconds $(date +%s.%N)" >>"$DIR/$1-$n.txt"
	done
}

# boot VMS TARGETS SLICES starts a deployment and waits until all is owned.
boot() {
	vms=$1 targets=$2 slices=$3
	if [ "$vms" -gt $MAX_VMS ] || [ "$targets" -gt $MAX_TARGETS ]; then echo "too large" >&2 && exit 2; fi
	DIR=$(mktemp -d)
	trap finish EXIT
	local n
	for n in $(seq 1 "$vms"); do start_voting_vm "$n"; done
	addresses_of_vms
	for n in $(seq 1 "$targets"); do
		start_process "ledger-$n" "$DIR/ledger-$n.log" "$BIN/standin" --id "ledger-$n" --service ledger \
			--data-centre "${DATA_CENTRES[$(((n - 1) % 6))]}" --addr "$(target_ip ledger "$n"):6001" \
			--announce "http://$(vm_ip 1):8001,http://$(vm_ip 2):8001" --slots 6 --service-time "$SERVICE_TIME" --cold-requests -1 --cold-factor 1
	done
	write_text "$slices" "$targets"
	wait_for 15 admin 1 v1/status
	wait_for 15 put_text
	wait_for 60 all_owned
	sleep "${SETTLE_SECONDS:-6}"
}
addresses_of_vms() {
	local n
	callers="" admins=""
	for n in $(seq 1 "$vms"); do
		callers+="http://$(vm_ip "$n"):8001,"
		admins+="http://$(vm_ip "$n"):9001,"
	done
}
finish() {
	stop_all
	rm -rf "$DIR"
}
bounded() { if [ "$1" -gt $MAX_SECONDS ]; then echo "at most $MAX_SECONDS s" >&2 && exit 2; fi; }

idle() {
	bounded "${4:-8}"
	boot "$1" "$2" "$3"
	sample first
	sleep "${4:-8}"
	sample second
	python3 scripts/load/slopes.py "idle vms=$1 targets=$2 slices=$3" "$DIR" "$vms" "$(leader)"
}
# mesh is idle once every entry has a link to every dispatcher.
mesh() {
	bounded "${4:-8}"
	boot "$1" "$2" "$3"
	"$BIN/flamingoreelbench" --entries "${callers%,}" --streams "ledger:club-a:1:0:4000:0" --rate 200 --duration 4s >"$DIR/report.txt"
	sleep 2
	sample first
	sleep "${4:-8}"
	sample second
	python3 scripts/load/slopes.py "mesh vms=$1 targets=$2 slices=$3" "$DIR" "$vms" "$(leader)"
}
leader() { admin 1 v1/status | python3 -c 'import json,sys; print(json.load(sys.stdin)["leader"].removeprefix("vm-"))'; }
# spread prints the most slices of a target over the mean.
spread() {
	admin 1 v1/status | python3 -c 'import collections,json,sys
n = collections.Counter(x["target"] for x in json.load(sys.stdin)["slices"])
print("  most slices of a target over the mean: %.2f" % (max(n.values()) * int(sys.argv[1]) / sum(n.values())))' "$targets"
}
# send PATH POST_SHARE RATE SECONDS SEED sends requests to all VMs.
send() {
	"$BIN/flamingoreelbench" --entries "${callers%,}" --streams "ledger:club-a:1:$2:4000:0" --path "$1" \
		--rate "$3" --duration "$4s" --seed "$5" >"$DIR/report.txt" || true
}
loaded() {
	bounded "${7:-8}"
	boot "$1" "$2" "$3"
	local path=/
	if [ "$5" -gt 0 ]; then path="/statement?bytes=$5"; fi
	spread
	# A first run without a reading takes the targets through the cold-start ramp.
	send "$path" "$6" "$(($4 / 2))" 3 1
	sample first
	send "$path" "$6" "$4" "${7:-8}" 2
	sample second
	python3 scripts/load/slopes.py "load vms=$1 targets=$2 slices=$3 rate=$4 answer=$5 posts=$6" "$DIR" "$vms" "$(leader)"
	grep -E '^(requests|latency|final)' "$DIR/report.txt"
}
# sweep_idle and sweep_load vary one dimension at a time.
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
idle) idle "${@:2}" ;;
mesh) mesh "${@:2}" ;;
load) loaded "${@:2}" ;;
sweep)
	sweep_idle
	sweep_load
	;;
sweep_load) sweep_load ;;
*) sed -n '2,9p' "$0" >&2 && exit 2 ;;
esac
