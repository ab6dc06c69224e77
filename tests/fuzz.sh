#!/bin/sh
# Runs the libFuzzer target, starting from its corpus and tests/seeds, for
# SECONDS_TO_RUN seconds (60).  Inputs that violate an invariant are saved in
# the folder fuzz-found.
cd "$(dirname "$0")/.." || exit 1
mkdir -p build-fuzz/corpus fuzz-found
build-fuzz/fuzz-cells -max_total_time="${SECONDS_TO_RUN:-60}" -max_len=480 \
    -timeout=60 -artifact_prefix=fuzz-found/ build-fuzz/corpus tests/seeds
