#!/bin/sh
# Builds the stand-ins of the cases review/4 to review/8 into target/review-2/,
# after the build of the deploy file: the project's own emulator of the platform,
# and a relay that cuts network paths.
# Needs no other package than that build.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
DEPS="libuv libtirpc jansson libh2o openssl zlib"
# shellcheck disable=SC2046
${CC:-cc} -std=gnu11 -O2 -g -fno-strict-aliasing -D_GNU_SOURCE -DH2O_USE_LIBUV=1 \
    -Ilibgooseberry -Iplatform -Istandin $(pkg-config --cflags $DEPS) \
    -o "$OUT/gooseberry-emulator" \
    standin/emulator.c standin/emulator_store.c standin/emulator_worker.c \
    standin/world.c standin/world_oracle.c standin/world_rows.c standin/world_org.c \
    standin/store_model.c standin/worker_model.c standin/standin.c \
    target/libplatform.a target/libgooseberry.a target/libgbproto.a \
    $(pkg-config --libs $DEPS) -lhttp_parser -lm
${CC:-cc} -std=gnu11 -O2 -g -D_GNU_SOURCE -Wall -Wextra -o "$OUT/relay-2" review/relay-2.c
echo "built $OUT/gooseberry-emulator and $OUT/relay-2"
