#!/bin/sh
# Runs the soak with every seed of seeds.txt, all of which once failed.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
failed=0
runs=0
while read -r seed rest; do
	case $seed in '#'* | '') continue ;; esac
	# A line has the seed, options, a bar, and the cause of the failure.
	# shellcheck disable=SC2086
	if "$BUILD/gooseberry-soak" --build "$BUILD" --seed "$seed" ${rest%%|*} \
	    >/tmp/soak-regress-$seed.txt 2>&1; then
		rm -rf "$(sed -n 's/.* logs=//p' "/tmp/soak-regress-$seed.txt")"
	else
		failed=$((failed + 1))
		echo "seed $seed failed again: /tmp/soak-regress-$seed.txt"
	fi
	runs=$((runs + 1))
done <soak/seeds.txt
echo "soak: $runs seeds played again, $failed failed"
[ "$failed" -eq 0 ]
