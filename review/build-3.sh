#!/bin/sh
# Checks what the scripts of cases 11 to 15 need. They start the gateways that
# the deploy file builds; clients, servers and the store are Python programs in
# common-3 and need no build. Python is there with meson.
cd "$(dirname "$0")/.." || exit 2
test -x target/guavakeel/guavakeel || {
	echo "build the gateway first, with the command of deploy/system.toml" >&2
	exit 1
}
for file in review/common-3/*.py review/1[1-5]/*.py; do
	/usr/bin/python3 -B -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
