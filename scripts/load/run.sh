#!/usr/bin/env bash
# Runs one deployment at its current size (9 VMs; 29 targets for zdbs, 28 for himal)
# on loopback under a bounded load, injects a fault and prints the report.
# Usage: run.sh zdbs|himal FAULT [RATE] [SECONDS], with RATE in requests per second.
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
	main_service=ledger main_targets=17 second_service=reporting second_targets=12 slots=6
	;;
himal)
	CLUSTER=himal REGIONS=(bagmati gandaki koshi) DATA_CENTRES=(thamel patan lakeside nayapul dharan biratnagar)
	main_service=spares-desk main_targets=16 second_service=fit-catalogue second_targets=12 slots=4
	;;
*) echo "unknown deployment $deployment" >&2 && exit 2 ;;
esac
# TEXT replaces the deployment's configuration text.
text=${TEXT:-scripts/load/$deployment.yaml}

status() { curl -sf -m 1 "http://$(vm_ip "$1"):9001/v1/status"; }
# put_text BASE FILE applies a configuration text through VM 1 if configuration BASE
# is the current one.
put_text() {
	python3 -c 'import json,sys; print(json.dumps({"base": int(sys.argv[1]), "text": open(sys.argv[2]).read()}))' "$1" "$2" |
		curl -sf -m 6 -X PUT -H 'Content-Type: application/json' --data-binary @- "http://$(vm_ip 1):9001/v1/config"
}
# control_standin TARGET-ADDRESS COMMAND sends a control command to a stand-in target.
control_standin() { curl -sf -m 2 -X POST "http://$1:6001/standin/$2" >/dev/null; }
leader() { status 1 | python3 -c 'import json,sys; print(json.load(sys.stdin)["leader"])'; }
all_owned() { status 1 | python3 -c 'import json,sys; s=json.load(sys.stdin); t=s["targets"]; sys.exit(0 if len(t)==int(sys.argv[1]) and s["slices"] and all(x["phase"]=="owned" for x in s["slices"]) else 1)' "$((main_targets + second_targets))"; }
# non_voter_vm prints the first of the non-voters VM 3, 6 and 8 that isn't the leader.
non_voter_vm() { local l; l=$(leader); for n in 3 6 8; do [ "vm-$n" != "$l" ] && echo "vm-$n" && return; done; }

for n in $(seq 1 9); do start_vm "$n"; done
for n in $(seq 1 "$main_targets"); do start_target "$main_service" "$n" "$slots"; done
for n in $(seq 1 "$second_targets"); do start_target "$second_service" "$n" "$slots"; done
wait_for 10 status 1
wait_for 10 put_text 0 "$text"
wait_for 20 all_owned
sleep "${RECORD_WAIT:-6}"

inject_fault() {
	sleep 3
	case $fault in
	none) ;;
	kill-target) kill -KILL "${PID_OF[$main_service-1]}" ;;
	freeze-target)
		kill -STOP "${PID_OF[$main_service-1]}"
		sleep 4
		kill -CONT "${PID_OF[$main_service-1]}"
		;;
	kill-vm) kill -KILL "${PID_OF[$(non_voter_vm)]}" ;;
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
		control_standin "$(target_ip "$second_service" 1)" 'slow?factor=10'
		control_standin "$(target_ip "$second_service" 2)" 'slow?factor=10'
		;;
	mixed)
		kill -KILL "${PID_OF[$main_service-1]}"
		sleep 2
		kill -KILL "${PID_OF[$(leader)]}"
		sleep 2
		kill -STOP "${PID_OF[$main_service-2]}"
		sleep 3
		kill -CONT "${PID_OF[$main_service-2]}"
		;;
	*) echo "unknown fault $fault" >&2 ;;
	esac
}
inject_fault &
injector_pid=$!
journals=$(ls "$DIR"/*.journal | paste -sd, -)
code=0
"$BIN/flamingoreelbench" --entries "$(addresses 8001)" --admins "$(addresses 9001)" \
	--streams "$main_service:club-a:0.35:0.5:400:0,$main_service:club-b:0.35:0.5:400:0,$second_service:club-a:0.3:0:400:0" \
	--rate "$rate" --duration "${seconds}s" --journals "$journals" || code=$?
wait "$injector_pid" || true
exit "$code"
