#!/usr/bin/env bash
# Functions that start and stop one deployment on loopback: 9 VMs in 3 regions
# and the stand-in targets. Sourced by the scripts in scripts/load. Every process
# is started by this shell and stopped by its process ID.

CLUSTER_PIDS=()
declare -A PID_OF

# LOOPBACK_NET is the second octet of all addresses, so that deployments can
# run side by side.
LOOPBACK_NET=${LOOPBACK_NET:-0}

# vm_ip N prints the address of VM N (1 to 9): 127.<net>.<region>.<n>, three VMs
# per region.
vm_ip() { echo "127.$LOOPBACK_NET.$(((($1 - 1) / 3) + 1)).$((($1 - 1) % 3 + 1))"; }

# start_process NAME LOG COMMAND... runs a process in the background, appends its
# output to LOG and records its process ID in PID_OF[NAME].
start_process() {
	local name=$1 log=$2
	shift 2
	"$@" >>"$log" 2>&1 &
	PID_OF[$name]=$!
	CLUSTER_PIDS+=($!)
}

# stop_all kills every process that was started, including stopped (SIGSTOP) ones.
stop_all() {
	local pid
	for pid in "${CLUSTER_PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	CLUSTER_PIDS=()
}

# start_vm N starts VM N. REGIONS, DATA_CENTRES (two per region), CLUSTER and
# DIR describe the deployment. VMs 1, 2, 4, 5 and 7 are voters: 2+2+1 over the
# regions.
start_vm() {
	local n=$1 region dc ip peers="" i
	region=${REGIONS[$(((n - 1) / 3))]}
	dc=${DATA_CENTRES[$((((n - 1) / 3) * 2 + ((n - 1) % 3) % 2))]}
	ip=$(vm_ip "$n")
	for i in $(seq 1 9); do peers+="vm-$i=$(vm_ip "$i"):7001,"; done
	start_process "vm-$n" "$DIR/vm-$n.log" "$BIN/flamingoreeld" \
		--name "vm-$n" --region "$region" --data-centre "$dc" --cluster "$CLUSTER" \
		--link-addr "$ip:7001" --caller-addr "$ip:8001" --admin-addr "$ip:9001" \
		--peers "${peers%,}" --voters vm-1,vm-2,vm-4,vm-5,vm-7 --bootstrap \
		--data-dir "$DIR/vm-$n" --log-level "${LOG_LEVEL:-info}"
}

# start_target SERVICE N SLOTS starts target N of a service. Targets are assigned
# to the data centres round-robin.
start_target() {
	local service=$1 n=$2 slots=$3 announce="" i
	for i in 1 4 7; do announce+="http://$(vm_ip "$i"):8001,"; done
	start_process "$service-$n" "$DIR/$service-$n.log" "$BIN/standin" \
		--id "$service-$n" --service "$service" --data-centre "${DATA_CENTRES[$(((n - 1) % 6))]}" \
		--addr "$(target_ip "$service" "$n"):6001" --announce "${announce%,}" --slots "$slots" \
		--service-time "${SERVICE_TIME:-2ms}" --journal "$DIR/$service-$n.journal"
}

# target_ip SERVICE N prints the address of target N, which no other target has.
target_ip() {
	case $1 in
	ledger | spares-desk) echo "127.$LOOPBACK_NET.11.$2" ;;
	*) echo "127.$LOOPBACK_NET.12.$2" ;;
	esac
}

# addresses PORT prints the base URLs of all VMs, separated by commas.
addresses() {
	local list="" i
	for i in $(seq 1 9); do list+="http://$(vm_ip "$i"):$1,"; done
	echo "${list%,}"
}

# wait_for SECONDS COMMAND... retries a command every 50 ms until it succeeds and
# returns 1 after the timeout.
wait_for() {
	local timeout=$1 i
	shift
	for ((i = 0; i < timeout * 20; i++)); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.05
	done
	echo "timed out after $timeout s: $*" >&2
	return 1
}
