#!/bin/sh
# A short soak with fixed seeds: real programs, faults from outside.  soak/run.sh
# plays more.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
failed=0
for seed in 1 2; do
	"$BUILD/gooseberry-soak" --build "$BUILD" --seed $seed --seconds 6 \
	    --nodes 3 --workers 12 >/tmp/gb-soak.$$ 2>&1 || {
		failed=$((failed + 1))
		cat /tmp/gb-soak.$$
		continue
	}
	rm -rf "$(sed -n 's/.* logs=//p' /tmp/gb-soak.$$)"
done
rm -f /tmp/gb-soak.$$
echo "soak: 2 seeds, $failed failed"
[ $failed -eq 0 ]
