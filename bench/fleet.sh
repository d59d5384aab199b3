#!/bin/bash
# Starts what bench/fleet measures, on loopback, and ends it again: a stand-in platform, 24 stand-in
# workers in three data centres, nine processes. Carries out what the driver asks for: signals and
# new starts. Usage: bench/fleet.sh BUILD [OPTION OF fleet...]
# The logs stay in fleet.out.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
shift || true
program=$build/dragonflyfold
out=fleet.out
declare -A pid_of=()
targets=()

readonly N_PROCESSES=9 RACKS_PER_CENTRE=1 WORKERS_PER_RACK=8 READY_TIMEOUT_S=30
readonly CENTRES='dc1 dc2 dc3'

# Ends what this script started and nothing else.
stop_all()
{
	local name
	for name in "${!pid_of[@]}"; do
		kill -KILL "${pid_of[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
}
trap stop_all EXIT
trap 'exit 143' TERM INT

# Starts a program under a name; its output is appended, as it may be the second start.
start()
{
	local name=$1
	shift
	"$@" >> "$out/$name.out" 2>> "$out/$name.log" &
	pid_of[$name]=$!
	echo "$!" > "$out/$name.pid"
}

wait_until()
{
	local process=$1 deadline=$((SECONDS + READY_TIMEOUT_S))
	shift
	until "$@" > /dev/null 2>&1; do
		if [ "$SECONDS" -ge "$deadline" ] || ! kill -0 "${pid_of[$process]}"; then
			tail -n 20 "$out/$process.log" >&2
			exit 1
		fi
		sleep 0.05
	done
}

address_of()
{
	grep -m 1 -oE '127\.0\.0\.1:[0-9]+' "$out/$1.out"
}

# Below the ports that outgoing connections get.
declare -i last_port=$((20000 + $$ % 10000))

choose_port()
{
	last_port+=1
	while (exec 3<> "/dev/tcp/127.0.0.1/$last_port") 2>/dev/null; do
		last_port+=1
	done
}

digest()
{
	echo "sha256:$(printf %s "$1" | sha256sum | cut -d ' ' -f 1)"
}

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

write_settings()
{
	local name=$1 centre=$2 listen=$3 peer=$4
	cat > "$out/$name.json" <<-END
	{
		"instance": "$name",
		"region": "fleet",
		"data_centre": "$centre",
		"listen": "127.0.0.1:$listen",
		"peer_listen": "127.0.0.1:$peer",
		$("$program" keygen peer),
		"table_address": "$platform",
		"object_store_address": "$platform",
		"instance_list_address": "$platform",
		"bootstrap_token_digest": "$(digest bootstrap-token)",
		"trace_path": "$out/$name.spans"
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

# Carries out one line of the driver's: anything but an order is printed.
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
start platform "$build/standin/dragonflyfold-standin-platform" --listen 127.0.0.1:0
wait_until platform address_of platform
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
	write_settings "entry-$i" "${centres[i % 3]}" "$listen" "$last_port"
	targets+=(--process "entry-$i=127.0.0.1:$listen")
	start_process "entry-$i"
	wait_until "entry-$i" curl -fsS "http://127.0.0.1:$listen/healthz"
done
write_pool
DRAGONFLYFOLD_TOKEN=bootstrap-token "$program" apply --server "127.0.0.1:$listen" "$out/pool.json" \
	--base 0 > /dev/null
wait_until "entry-$N_PROCESSES" curl -fsS "http://127.0.0.1:$listen/readyz"

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
