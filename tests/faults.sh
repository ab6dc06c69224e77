#!/bin/sh
# The fault matrix: simulated cells, then the rows that need real processes.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
"$BUILD/test-faults" 2>&1 | grep -v '^\[' >/tmp/gb-faults.$$
status=$?
sh tests/run-processes.sh
processes=$?
cat /tmp/gb-faults.$$
rm -f /tmp/gb-faults.$$
[ $status -eq 0 ] && [ $processes -eq 0 ]
