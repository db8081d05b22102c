#!/bin/sh
# Builds the stand-ins of the project and the programs of the cases into
# review/build/. The build of the deploy file (into target/) must be there: its
# library is linked, and its gateway is the one that the cases start. Needs no
# package besides those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=review/build
mkdir -p "$out/standins" "$out/guavakeel" "$out/obj"
ln -sf ../../../target/guavakeel/guavakeel "$out/guavakeel/guavakeel"

flags="-std=gnu11 -O1 -g -D_GNU_SOURCE -Iinclude -I."
libs="target/libguavakeel-core.a $(pkg-config --libs libuv libwebsockets libzmq \
    inih jansson msgpack libxxhash libsodium zlib) -lhttp_parser -lm"
# As standin_lib in standins/meson.build.
lib="actions cluster engine engine_cache engine_chat engine_core
    engine_telemetry engine_kv engine_orders engine_program engine_step
    engine_stream fields fields_parse http_caller log log_store paths proxy runs
    standin standin_faults standin_request store text topics vm_list
    vm_list_program weights"
rm -f "$out/libstandin.a"
objects=
for name in $lib; do
	cc $flags $(pkg-config --cflags libuv) -c "standins/$name.c" \
	    -o "$out/obj/$name.o" &
	objects="$objects $out/obj/$name.o"
done
wait
ar rc "$out/libstandin.a" $objects

link() {
	cc $flags -o "$@" "$out/libstandin.a" $libs
}

link "$out/standins/standin-store" -DSTANDIN_PROGRAM=store_program \
    standins/main.c &
link "$out/standins/standin-runner" standins/runner.c &
link "$out/standins/standin-paths" standins/paths_program.c &
for source in review/[1-5]/*.c; do
	[ -e "$source" ] || continue
	link "$out/case-$(basename "$(dirname "$source")")" "$source" \
	    review/common/review.c review/common/path.c &
done
wait
