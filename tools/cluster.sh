# Sourced after processes.sh, with $build set. Starts the stand-ins and three
# entry daemons in three failure domains, publishes a configuration and waits
# until all daemons are ready. Sets log_port, vmlist_port, tool_port,
# engineN_port, port_N and pid_N (N = 1, 2, 3), and vm_options for build/demo
# programs.

start log "$build/standins/standin-log"
log_port=$started_port
start vmlist "$build/standins/standin-vmlist"
vmlist_port=$started_port
start tool "$build/standins/standin-tool"
tool_port=$started_port
start engine1 "$build/standins/standin-engine"
engine1_port=$started_port
start engine2 "$build/standins/standin-engine"
engine2_port=$started_port

vm_options=
for vm in 1:ro-nord-a:ro-nord 2:ro-sud-a:ro-sud 3:eu-vest-a:eu-vest; do
	number=${vm%%:*}
	domain=${vm#*:}
	region=${domain#*:}
	domain=${domain%%:*}
	write_settings "entry-$number" "$domain" "$region" \
	    "$work/entry-$number.ini"
	start "entry-$number" "$build/guavakeel/guavakeel" daemon \
	    "$work/entry-$number.ini"
	list_vm "entry-$number" "$domain" "$region" "$started_port"
	vm_options="$vm_options --vm 127.0.0.1:$started_port=$started_pid"
	eval "port_$number=$started_port pid_$number=$started_pid"
done

# server_json NAME PORT FAILURE_DOMAIN REGION: prints a member of "servers".
server_json() {
	printf '"%s": {"address": "127.0.0.1", "port": %s, "pool": "lm-pool",
	    "failure_domain": "%s", "region": "%s", "models": ["draft-1"],
	    "kv_tokens": 200000, "max_running": 16}' "$1" "$2" "$3" "$4"
}
cat > "$work/patch.json" <<EOF
{"models": {"draft-1": {"version": "1", "context_tokens": 270000,
    "prefill_tokens_per_s": 8000, "kv_bytes_per_token": 131072}},
 "servers": {$(server_json runner-1 "$engine1_port" ro-nord-a ro-nord),
    $(server_json runner-2 "$engine2_port" ro-sud-a ro-sud)},
 "services": {"studio-app": {"endpoints": [{"address": "127.0.0.1",
    "port": $tool_port, "failure_domain": "ro-nord-a",
    "region": "ro-nord"}], "timeout_ms": 5000}},
 "tools": {"invoice": {"service": "studio-app", "path": "/tools/invoice",
    "repeatable": false, "timeout_ms": 5000},
    "catalogue": {"service": "studio-app", "path": "/tools/catalogue",
    "repeatable": true, "timeout_ms": 5000}},
 "workspaces": {"studio": {"budget_tokens": 20000},
    "desk": {"budget_tokens": 20000}},
 "limits": {"shards": 12, "lanes": 4, "reserve_tokens": 4096}}
EOF
"$build/guavakeel/guavakeel" config patch --log-address 127.0.0.1 \
    --log-port "$log_port" --base 0 "$work/patch.json"
for number in 1 2 3; do
	eval "wait_ready \$port_$number"
done
