#!/bin/bash
# Starts what bench/hop measures, on loopback, and ends it again: a bare server; a stand-in platform,
# stand-in workers and one process with tracing on. Usage: bench/hop.sh BUILD [OPTION OF hop load...]
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
shift || true
program=$build/dragonflyfold
out=$(mktemp -d)
declare -A pid_of=()

readonly N_WORKERS=4 SLOTS=32 READY_TIMEOUT_S=30

# Ends what this script started and nothing else.
stop_all()
{
	local name
	for name in "${!pid_of[@]}"; do
		kill -TERM "${pid_of[$name]}" 2>/dev/null || true
	done
	wait || true
	rm -rf "$out"
}
trap stop_all EXIT

start()
{
	local name=$1
	shift
	"$@" > "$out/$name.out" 2> "$out/$name.log" &
	pid_of[$name]=$!
}

# Runs a command until it succeeds.
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

free_port()
{
	local port=$((12000 + RANDOM % 18000))
	while (exec 3<> "/dev/tcp/127.0.0.1/$port") 2>/dev/null; do
		port=$((port + 1))
	done
	echo "$port"
}

digest()
{
	echo "sha256:$(printf %s "$1" | sha256sum | cut -d ' ' -f 1)"
}

write_pool()
{
	cat > "$out/pool.json" <<-END
	{
		"preset": "completion",
		"racks": [{"name": "r1", "data_centre": "dc1", "region": "bench", "workers": $N_WORKERS,
			"slots": $SLOTS, "cores": 32, "memory_gb": 64, "accelerators": 8}],
		"teams": [{"name": "bench", "token_digests": ["$(digest bench-token)"]}],
		"services": [{"name": "hop", "request_slots": $SLOTS, "request_timeout_ms": 10000}],
		"operators": [{"name": "operator", "token_digests": ["$(digest operator-token)"]}]
	}
	END
}

write_settings()
{
	cat > "$out/entry.json" <<-END
	{
		"instance": "entry",
		"region": "bench",
		"data_centre": "dc1",
		"listen": "127.0.0.1:$2",
		"peer_listen": "127.0.0.1:$3",
		$("$program" keygen peer),
		"table_address": "$1",
		"object_store_address": "$1",
		"instance_list_address": "$1",
		"bootstrap_token_digest": "$(digest bootstrap-token)",
		"log_level": "warning",
		"trace_path": "$out/spans"
	}
	END
}

start_workers()
{
	local i
	for ((i = 1; i <= N_WORKERS; i++)); do
		start "r1-w$i" "$build/standin/dragonflyfold-standin-worker" --platform "$1" --id "r1-w$i" \
			--rack r1 --data-centre dc1 --region bench --slots "$SLOTS"
	done
	for ((i = 1; i <= N_WORKERS; i++)); do
		wait_until "r1-w$i" address_of "r1-w$i"
	done
}

# Slots are granted once the cell has a holder that knows its workers.
first_request()
{
	curl -fsS --max-time 2 -H 'Authorization: Bearer bench-token' -H 'Content-Type: application/json' \
		-d '{"answer_bytes":200}' "http://$1/v1/services/hop/requests"
}

start bare "$build/bench/hop" bare
start platform "$build/standin/dragonflyfold-standin-platform" --listen 127.0.0.1:0
wait_until bare address_of bare
wait_until platform address_of platform
platform=$(address_of platform)
start_workers "$platform"
entry=127.0.0.1:$(free_port)
write_pool
write_settings "$platform" "${entry#*:}" "$(free_port)"
start entry "$program" serve --settings "$out/entry.json"
wait_until entry curl -fsS "http://$entry/healthz"
DRAGONFLYFOLD_TOKEN=bootstrap-token "$program" apply --server "$entry" "$out/pool.json" --base 0 > /dev/null
wait_until entry first_request "$entry"

"$build/bench/hop" load --bare "$(address_of bare)" --bare-pid "${pid_of[bare]}" \
	--product "$entry" --product-pid "${pid_of[entry]}" \
	--path /v1/services/hop/requests --token bench-token "$@"
echo "spans written: $(wc -l < "$out/spans")"
