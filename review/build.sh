#!/bin/bash
# Builds what the scripts of the cases start, besides the build of the deploy
# file, whose libraries in target/ it links.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/libplatform.a ]; then
	cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DGB_TESTS=OFF
	cmake --build target -j8
fi
DEPS="libuv libtirpc jansson libh2o openssl zlib"
# shellcheck disable=SC2046
gcc -std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE -DH2O_USE_LIBUV=1 \
    -Ilibgooseberry -Ireview $(pkg-config --cflags $DEPS) \
    review/*.c target/libgooseberry.a target/libgbproto.a \
    $(pkg-config --libs $DEPS) -lm -o review/review-platform
