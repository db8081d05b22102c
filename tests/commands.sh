#!/bin/sh
# The operator's commands against the log's stand-in, with real processes.
# usage: tests/commands.sh BUILD_DIR
set -eu
build=$1
. "$(dirname "$0")/../tools/processes.sh"

guavakeel=$build/guavakeel/guavakeel
contrib=$(cd "$(dirname "$0")/../contrib" && pwd)

fail() {
	echo "failed: $*"
	exit 1
}

# expect CODE COMMAND...: runs a config command; its output is in $work/out.
expect() {
	code=$1
	shift
	status=0
	"$guavakeel" config "$@" --log-address 127.0.0.1 \
	    --log-port "$log_port" > "$work/out" 2> "$work/err" || status=$?
	[ "$status" = "$code" ] ||
	    fail "config $*: exit $status: $(cat "$work/out" "$work/err")"
}

# shows TEXT: the last output has it.
shows() {
	grep -q -- "$1" "$work/out" "$work/err" ||
	    fail "no '$1' in: $(cat "$work/out" "$work/err")"
}

# set_faults JSON: orders faults of the log.
set_faults() {
	curl -sS --fail -X POST -d "$1" \
	    "http://127.0.0.1:$log_port/faults" > /dev/null
}

start log "$build/standins/standin-log"
log_port=$started_port

cd "$work"
echo '{"workspaces": {"w": {"budget_tokens": 5}}}' > one.json
echo '{"workspaces": {"w": {"budget_tokens": 6}, "v": {}}}' > bad.json
echo '{"workspaces": {"w": {"budget_tokens": 7}}}' > two.json
echo '{"a": 1,' > cut.json

expect 0 show
expect 1 patch cut.json
shows 'cut.json:'
expect 1 patch bad.json
shows '/workspaces/v/budget_tokens: is missing'
expect 0 patch one.json --operator anna --comment first
shows 'version: 1'
expect 2 patch two.json --base 0 --operator ben
shows '/workspaces/w/budget_tokens'
shows 'anna'

set_faults '{"lose_replies": 1}'
expect 0 patch two.json --base 1 --operator ben --id 00000000000000ab
shows 'version: 2'
expect 0 patch two.json --base 1 --operator ben --id ab
shows 'version: 2'
expect 0 history --json
[ "$(grep -c '"version"' out)" = 2 ] || fail "history: $(cat out)"

expect 0 diff 2 1
shows '"budget_tokens": 5'
expect 1 show --version 3
expect 0 revert-to 1
shows 'version: 3'
expect 0 show
shows '"budget_tokens": 5'
expect 0 export
cp out export.json
expect 2 import export.json

start successor "$build/standins/standin-log"
log_port=$started_port
expect 0 import export.json
shows 'version: 3'
expect 0 export
sed 's/"next_offset":[0-9]*,//; s/"wall_us":[0-9]*}$/}/' export.json > a.json
sed 's/"next_offset":[0-9]*,//; s/"wall_us":[0-9]*}$/}/' out > b.json
cmp a.json b.json || fail 'the successor has another history'
expect 0 patch two.json
shows 'version: 4'

for document in lumaris blue-mahoe; do
	start "$document" "$build/standins/standin-log"
	log_port=$started_port
	expect 0 patch "$contrib/$document.json"
done
"$guavakeel" check-config "$contrib/guavakeel.ini" || fail 'guavakeel.ini'

log_port=1
expect 3 show
echo 'commands: passed'
