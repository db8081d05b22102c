#!/bin/sh
# Builds the programs of the cases of this review into target/review-2/, after
# the build of deploy/system.toml, with its packages only.
set -eu
cd "$(dirname "$0")/.."
libs="libuv libwebsockets libzmq inih jansson msgpack libxxhash libsodium zlib"
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE
    -Iinclude -I."
for case in review/*/case-*.c; do
	[ -e "$case" ] || continue
	# shellcheck disable=SC2046,SC2086
	gcc $flags -o "$out/$(basename "$case" .c)" "$case" \
	    review/common-2/*.c \
	    target/libguavakeel-core.a \
	    $(pkg-config --cflags --libs $libs) -lhttp_parser -lm -lpthread
done
