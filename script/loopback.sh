# shellcheck shell=bash disable=SC2154
# Functions for scripts that start the programs on loopback; to be sourced by bash. Before the first call
# the script must set `build`, `program`, `out` (an empty directory) and `bootstrap_token`.

declare -A pid_of=()
# Below the range of ephemeral ports: an outgoing connection could take one of those between the check
# and the start of the process.
declare -i last_port=$((20000 + $$ % 12000))

readonly READY_TIMEOUT_S=30

give_up()
{
	echo "${0##*/}: $1" >&2
	exit 1
}

# Starts a program under a name. Appends its output, so that a restart keeps the earlier output.
start()
{
	local name=$1
	shift
	"$@" >> "$out/$name.out" 2>> "$out/$name.log" &
	pid_of[$name]=$!
	echo "$!" > "$out/$name.pid"
}

# Sends a signal to the started processes only, and waits until they have exited.
end_all()
{
	local signal=$1 name
	for name in "${!pid_of[@]}"; do
		kill "-$signal" "${pid_of[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
}

check_alive()
{
	kill -0 "${pid_of[$1]}" 2>/dev/null && return
	tail -n 20 "$out/$1.log" >&2
	give_up "$1 has ended"
}

# Repeats a command until it succeeds; fails when the awaited process has exited, or after
# READY_TIMEOUT_S.
wait_until()
{
	local what=$1 process=$2 deadline=$((SECONDS + READY_TIMEOUT_S))
	shift 2
	until "$@" > /dev/null 2>&1; do
		check_alive "$process"
		if [ "$SECONDS" -ge "$deadline" ]; then
			tail -n 20 "$out/$process.log" >&2
			give_up "$what: not within $READY_TIMEOUT_S s"
		fi
		sleep 0.05
	done
}

# Prints the address that a program reports when it listens.
address_of()
{
	grep -m 1 -oE '127\.0\.0\.1:[0-9]+' "$out/$1.out"
}

is_port_free()
{
	! (exec 3<> "/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Sets last_port to a free port.
choose_port()
{
	last_port+=1
	until is_port_free "$last_port"; do
		last_port+=1
	done
}

# Prints the digest of a token, as in pool and settings files.
digest()
{
	echo "sha256:$(printf %s "$1" | sha256sum | cut -d ' ' -f 1)"
}

# write_settings NAME REGION DATA_CENTRE PLATFORM LISTEN_PORT PEER_PORT [LOG_LEVEL]
write_settings()
{
	cat > "$out/$1.json" <<-END
	{
		"instance": "$1",
		"region": "$2",
		"data_centre": "$3",
		"listen": "127.0.0.1:$5",
		"peer_listen": "127.0.0.1:$6",
		$("$program" keygen peer),
		"table_address": "$4",
		"object_store_address": "$4",
		"instance_list_address": "$4",
		"bootstrap_token_digest": "$(digest "$bootstrap_token")",
		"log_level": "${7:-info}",
		"trace_path": "$out/$1.spans"
	}
	END
	"$program" check --settings "$out/$1.json" > /dev/null
}

start_platform()
{
	start platform "$build/standin/dragonflyfold-standin-platform" --listen 127.0.0.1:0
	wait_until 'stand-in platform' platform address_of platform
}
