#!/bin/bash
# Runs the driver bench/fleet against a system on loopback: a stand-in platform, 24 stand-in workers
# in three data centres, nine processes. Sends signals and restarts programs as the driver requests.
# Stops all programs at the end. Usage: bench/fleet.sh BUILD [OPTION OF fleet...]
# The logs stay in fleet.out.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
shift || true
program=$build/dragonflyfold
out=fleet.out
bootstrap_token=bootstrap-token
targets=()
. script/loopback.sh

readonly N_PROCESSES=9 RACKS_PER_CENTRE=1 WORKERS_PER_RACK=8
readonly CENTRES='dc1 dc2 dc3'

trap 'end_all KILL' EXIT

write_pool()
{
	local centre i racks=
	for centre in $CENTRES; do
		for ((i = 1; i <= RACKS_PER_CENTRE; i++)); do
			racks+="${racks:+,}{\"name\": \"$centre-r$i\", \"data_centre\": \"$centre\", \"region\": \"fleet\",
				\"workers\": $WORKERS_PER_RACK, \"slots\": 16, \"cores\": 32, \"memory_gb\": 64, \"accelerators\": 8}"
		done
	done
	cat > "$out/pool.json" <<-END
	{
		"preset": "completion",
		"racks": [$racks],
		"teams": [{"name": "fleet", "token_digests": ["$(digest fleet-token)"],
			"guarantees": [{"gangs": 2, "accelerators": 8}]}],
		"services": [
			{"name": "short", "request_slots": 9, "request_timeout_ms": 10000},
			{"name": "batch", "request_slots": 0}
		],
		"operators": [{"name": "operator", "token_digests": ["$(digest operator-token)"]}]
	}
	END
}

start_worker()
{
	local name=$1
	start "$name" "$build/standin/dragonflyfold-standin-worker" --platform "$platform" --id "$name" \
		--rack "${name%-w*}" --data-centre "${name%%-*}" --region fleet --slots 16 --cores 32 \
		--memory-gb 64 --accelerators 8 --listen "127.0.0.1:${port_of[$name]}" \
		--run-log "$out/runs"
}

start_process()
{
	start "$1" "$program" serve --settings "$out/$1.json"
}

start_named()
{
	case $1 in
	entry-*) start_process "$1" ;;
	*) start_worker "$1" ;;
	esac
}

# Handles one line of the driver's output: runs a command (!signal, !start), prints any other line.
carry_out()
{
	local order name signal
	read -r order name signal <<< "$1"
	case $order in
	'!signal') kill "-$signal" "${pid_of[$name]}" 2>/dev/null || true ;;
	'!start')
		wait "${pid_of[$name]}" 2>/dev/null || true
		start_named "$name"
		;;
	*) echo "$1" ;;
	esac
}

rm -rf "$out"
mkdir "$out"
declare -A port_of=()
start_platform
platform=$(address_of platform)
for centre in $CENTRES; do
	for ((rack = 1; rack <= RACKS_PER_CENTRE; rack++)); do
		for ((i = 1; i <= WORKERS_PER_RACK; i++)); do
			name=$centre-r$rack-w$i
			choose_port
			port_of[$name]=$last_port
			targets+=(--worker "$name=127.0.0.1:$last_port")
			start_worker "$name"
		done
	done
done
centres=($CENTRES)
for ((i = 1; i <= N_PROCESSES; i++)); do
	choose_port
	listen=$last_port
	choose_port
	write_settings "entry-$i" fleet "${centres[i % 3]}" "$platform" "$listen" "$last_port"
	targets+=(--process "entry-$i=127.0.0.1:$listen")
	start_process "entry-$i"
	wait_until "entry-$i" "entry-$i" curl -fsS "http://127.0.0.1:$listen/healthz"
done
write_pool
DRAGONFLYFOLD_TOKEN=$bootstrap_token "$program" apply --server "127.0.0.1:$listen" "$out/pool.json" \
	--base 0 > /dev/null
wait_until "entry-$N_PROCESSES ready" "entry-$N_PROCESSES" curl -fsS "http://127.0.0.1:$listen/readyz"

mkfifo "$out/orders"
"$build/bench/fleet" --platform "$platform" --directory "$out" --pool "$out/pool.json" \
	--run-log "$out/runs" "${targets[@]}" "$@" > "$out/orders" &
pid_of[driver]=$!
while read -r line; do
	carry_out "$line"
done < "$out/orders"
code=0
wait "${pid_of[driver]}" || code=$?
unset 'pid_of[driver]'
exit "$code"
