# Dependencies, builds and tests.  Each target installs and builds what it
# needs, also on a new machine.
BUILD ?= build
JOBS ?= $(shell nproc)

all: build

deps:
	@sh tests/deps.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD) | tail -n 1

build-asan: deps
	@cmake -S . -B build-asan -G Ninja -DGB_SANITIZE=ON >/dev/null
	@ninja -C build-asan | tail -n 1

build-fuzz: deps
	@CC=clang cmake -S . -B build-fuzz -G Ninja -DGB_FUZZ=ON \
	    -DGB_SANITIZE=ON >/dev/null
	@ninja -C build-fuzz fuzz-cells | tail -n 1

check: build build-asan
	@sh tests/check.sh

demo: build
	@tests/demo.sh

fuzz: build-fuzz
	@sh tests/fuzz.sh

faults: build
	@sh tests/faults.sh full

SEED ?= 1
SEEDS ?= 8
SECONDS ?= 20
INSTANCES ?= 4
WORKERS ?= 16
soak: build
	@BUILD=$(BUILD) soak/run.sh $(SEED) $$(($(SEED) + $(SEEDS) - 1)) \
	    --seconds $(SECONDS) --nodes $(INSTANCES) --workers $(WORKERS)

bench: build
	@sh bench/bench.sh

format:
	@git ls-files '*.c' '*.h' | grep -v /gen/ | xargs clang-format -i

clean:
	rm -rf build build-*

.PHONY: all deps build build-asan build-fuzz check demo fuzz faults bench \
    soak format clean
