#!/bin/bash
# Runs bench/hop against programs on loopback: a bare server, and a stand-in platform with stand-in
# workers and one process with tracing on. Stops all programs at the end.
# Usage: bench/hop.sh BUILD [OPTION OF hop load...]
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
shift || true
program=$build/dragonflyfold
bootstrap_token=bootstrap-token
out=$(mktemp -d)
. script/loopback.sh

readonly N_WORKERS=4 SLOTS=32

stop_all()
{
	end_all TERM
	rm -rf "$out"
}
trap stop_all EXIT

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

start_workers()
{
	local i
	for ((i = 1; i <= N_WORKERS; i++)); do
		start "r1-w$i" "$build/standin/dragonflyfold-standin-worker" --platform "$1" --id "r1-w$i" \
			--rack r1 --data-centre dc1 --region bench --slots "$SLOTS"
	done
	for ((i = 1; i <= N_WORKERS; i++)); do
		wait_until "worker r1-w$i" "r1-w$i" address_of "r1-w$i"
	done
}

# Sends a request. It succeeds once the cell has a holder that has granted slots on its workers.
first_request()
{
	curl -fsS --max-time 2 -H 'Authorization: Bearer bench-token' -H 'Content-Type: application/json' \
		-d '{"answer_bytes":200}' "http://$1/v1/services/hop/requests"
}

start bare "$build/bench/hop" bare
start_platform
wait_until 'bare server' bare address_of bare
platform=$(address_of platform)
start_workers "$platform"
write_pool
choose_port
entry=127.0.0.1:$last_port
choose_port
write_settings entry bench dc1 "$platform" "${entry#*:}" "$last_port" warning
start entry "$program" serve --settings "$out/entry.json"
wait_until entry entry curl -fsS "http://$entry/healthz"
DRAGONFLYFOLD_TOKEN=$bootstrap_token "$program" apply --server "$entry" "$out/pool.json" --base 0 > /dev/null
wait_until "first request" entry first_request "$entry"

"$build/bench/hop" load --bare "$(address_of bare)" --bare-pid "${pid_of[bare]}" \
	--product "$entry" --product-pid "${pid_of[entry]}" \
	--path /v1/services/hop/requests --token bench-token "$@"
echo "spans written: $(wc -l < "$out/entry.spans")"
