#!/usr/bin/env bash
# Runs one deployment at today's size on loopback under a bounded load and a
# fault, and prints the report. Usage: run.sh zdbs|himal FAULT [RATE] [SECONDS]
# FAULT: none, kill-target, freeze-target, kill-vm, kill-leader, freeze-vm,
# data-centre, stragglers, mixed.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/cluster.sh
deployment=$1 fault=$2 rate=${3:-400} seconds=${4:-15}
BIN=$PWD/bin
DIR=$(mktemp -d)
finish() {
	stop_all
	if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$DIR" "$KEEP_LOGS"; fi
	rm -rf "$DIR"
}
trap finish EXIT
case $deployment in
zdbs)
	CLUSTER=zdbs REGIONS=(osrednja stajerska primorska) DATA_CENTRES=(lj-a lj-b mb-a mb-b kp-a kp-b)
	exact=ledger exact_n=17 divided=reporting divided_n=12 slots=6
	;;
himal)
	CLUSTER=himal REGIONS=(bagmati gandaki koshi) DATA_CENTRES=(thamel patan lakeside nayapul dharan biratnagar)
	exact=spares-desk exact_n=16 divided=fit-catalogue divided_n=12 slots=4
	;;
*) echo "unknown deployment $deployment" >&2 && exit 2 ;;
esac
# TEXT replaces the deployment's configuration text.
text=${TEXT:-scripts/load/$deployment.yaml}

status() { curl -sf -m 1 "http://$(vm_ip "$1"):9001/v1/status"; }
# put_text BASE FILE applies a text by compare-and-set through VM 1.
put_text() {
	python3 -c 'import json,sys; print(json.dumps({"base": int(sys.argv[1]), "text": open(sys.argv[2]).read()}))' "$1" "$2" |
		curl -sf -m 6 -X PUT -H 'Content-Type: application/json' --data-binary @- "http://$(vm_ip 1):9001/v1/config"
}
# standin TARGET-ADDRESS COMMAND sends a control command to a stand-in target.
standin() { curl -sf -m 2 -X POST "http://$1:6001/standin/$2" >/dev/null; }
leader() { status 1 | python3 -c 'import json,sys; print(json.load(sys.stdin)["leader"])'; }
all_owned() { status 1 | python3 -c 'import json,sys; s=json.load(sys.stdin); t=s["targets"]; sys.exit(0 if len(t)==int(sys.argv[1]) and s["slices"] and all(x["phase"]=="owned" for x in s["slices"]) else 1)' "$((exact_n + divided_n))"; }
other_vm() { local l; l=$(leader); for n in 3 6 8; do [ "vm-$n" != "$l" ] && echo "vm-$n" && return; done; }

for n in $(seq 1 9); do start_vm "$n"; done
for n in $(seq 1 "$exact_n"); do start_target "$exact" "$n" "$slots"; done
for n in $(seq 1 "$divided_n"); do start_target "$divided" "$n" "$slots"; done
wait_for 10 status 1
wait_for 10 put_text 0 "$text"
wait_for 20 all_owned
sleep "${RECORD_WAIT:-6}"

inject() {
	sleep 3
	case $fault in
	none) ;;
	kill-target) kill -KILL "${PID_OF[$exact-1]}" ;;
	freeze-target)
		kill -STOP "${PID_OF[$exact-1]}"
		sleep 4
		kill -CONT "${PID_OF[$exact-1]}"
		;;
	kill-vm) kill -KILL "${PID_OF[$(other_vm)]}" ;;
	kill-leader) kill -KILL "${PID_OF[$(leader)]}" ;;
	freeze-vm)
		victim=$(leader)
		kill -STOP "${PID_OF[$victim]}"
		sleep 4
		kill -CONT "${PID_OF[$victim]}"
		;;
	data-centre)
		sed "s/{name: ${DATA_CENTRES[2]}}/{name: ${DATA_CENTRES[2]}, state: out}/" "$text" >"$DIR/out.yaml"
		put_text 1 "$DIR/out.yaml" >/dev/null
		sleep 5
		put_text 2 "$text" >/dev/null
		;;
	stragglers)
		standin "$(target_ip "$divided" 1)" 'slow?factor=10'
		standin "$(target_ip "$divided" 2)" 'slow?factor=10'
		;;
	mixed)
		kill -KILL "${PID_OF[$exact-1]}"
		sleep 2
		kill -KILL "${PID_OF[$(leader)]}"
		sleep 2
		kill -STOP "${PID_OF[$exact-2]}"
		sleep 3
		kill -CONT "${PID_OF[$exact-2]}"
		;;
	*) echo "unknown fault $fault" >&2 ;;
	esac
}
inject &
injector=$!
journals=$(ls "$DIR"/*.journal | paste -sd, -)
code=0
"$BIN/flamingoreelbench" --entries "$(addresses 8001)" --admins "$(addresses 9001)" \
	--streams "$exact:club-a:0.35:0.5:400:0,$exact:club-b:0.35:0.5:400:0,$divided:club-a:0.3:0:400:0" \
	--rate "$rate" --duration "${seconds}s" --journals "$journals" || code=$?
wait "$injector" || true
exit "$code"
