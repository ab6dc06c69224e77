#!/bin/sh
# Runs the fault matrix on simulated cells, then the faults that need real
# processes, and prints the matrix last.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
"$BUILD/test-faults" 2>&1 | grep -v '^\[' >/tmp/gb-faults.$$
status=$?
sh tests/run-processes.sh
processes_status=$?
cat /tmp/gb-faults.$$
rm -f /tmp/gb-faults.$$
[ $status -eq 0 ] && [ $processes_status -eq 0 ]
