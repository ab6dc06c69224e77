#!/bin/sh
# Runs short soak tests with fixed seeds and kinds of faults: real programs, with
# faults injected from outside.  soak/run.sh runs many seeds.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
failed=0
for run in '1 --kinds 50' '2 --kinds 50' '68 --kinds 51' \
    '1 --only store_rejects --seconds 24 --nodes 5'; do
	# $run is the seed followed by options, so it is not quoted.
	# shellcheck disable=SC2086
	"$BUILD/gooseberry-soak" --build "$BUILD" --seconds 6 --nodes 3 \
	    --workers 12 --seed $run >/tmp/gb-soak.$$ 2>&1 || {
		failed=$((failed + 1))
		echo "soak: seed $run failed"
		cat /tmp/gb-soak.$$
		continue
	}
	rm -rf "$(sed -n 's/.* logs=//p' /tmp/gb-soak.$$)"
done
rm -f /tmp/gb-soak.$$
echo "soak: 4 seeds, $failed failed"
[ $failed -eq 0 ]
