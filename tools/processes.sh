# Sourced by scripts that start daemons and stand-ins. Each process prints
# "listening PORT" when it is ready for requests. All processes are killed, by
# pid, when the script ends. Sets work to a temporary directory, which is
# removed then.

work=$(mktemp -d)
pids=

stop_all() {
	for pid in $pids; do
		kill -KILL "$pid" 2>/dev/null || :
	done
	for pid in $pids; do
		wait "$pid" 2>/dev/null || :
	done
	rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND...: starts a process and waits until it listens. Sets
# started_pid and started_port; writes the output to $work/NAME.out and
# $work/NAME.err.
start() {
	name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.err" &
	started_pid=$!
	pids="$pids $started_pid"
	tries=0
	until started_port=$(sed -n 's/^listening //p' "$work/$name.out" 2>/dev/null) &&
	    [ -n "$started_port" ]; do
		tries=$((tries + 1))
		if [ $tries -gt 200 ] || ! kill -0 "$started_pid" 2>/dev/null; then
			echo "$name did not start:" >&2
			cat "$work/$name.err" >&2
			exit 1
		fi
		sleep 0.05
	done
}

# write_settings VM FAILURE_DOMAIN REGION FILE: writes a settings file of a
# daemon. Needs log_port and vmlist_port.
write_settings() {
	cat > "$4" <<EOF
[vm]
name = $1
failure_domain = $2
region = $3
[listen]
address = 127.0.0.1
[log]
address = 127.0.0.1
port = $log_port
[members]
address = 127.0.0.1
port = $vmlist_port
poll_interval = 500 ms
[diagnostics]
level = ${diagnostics_level:-info}
EOF
}

# list_vm VM FAILURE_DOMAIN REGION PORT: adds a VM to the platform's VM list.
# Needs vmlist_port.
list_vm() {
	curl -sf -X PUT -H 'content-type: application/json' \
	    -d "{\"address\":\"127.0.0.1\",\"port\":$4,\
\"peer_address\":\"127.0.0.1\",\"peer_port\":0,\"failure_domain\":\"$2\",\
\"region\":\"$3\",\"state\":\"live\"}" \
	    "http://127.0.0.1:$vmlist_port/v1/vms/$1" >/dev/null
}

# wait_ready PORT: waits until a daemon is ready; fails after about 30 seconds.
wait_ready() {
	tries=0
	until curl -sf "http://127.0.0.1:$1/readyz" >/dev/null; do
		tries=$((tries + 1))
		if [ $tries -gt 300 ]; then
			echo "the daemon at port $1 is not ready" >&2
			curl -s "http://127.0.0.1:$1/readyz" >&2
			exit 1
		fi
		sleep 0.1
	done
}
