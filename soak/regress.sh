#!/bin/sh
# Play every seed of seeds.txt that once failed.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
failed=0
played=0
while read -r seed rest; do
	case $seed in '#'* | '') continue ;; esac
	# The options stand before the bar, the cause behind it.
	# shellcheck disable=SC2086
	if "$BUILD/gooseberry-soak" --build "$BUILD" --seed "$seed" ${rest%%|*} \
	    >/tmp/soak-regress-$seed.txt 2>&1; then
		rm -rf "$(sed -n 's/.* logs=//p' "/tmp/soak-regress-$seed.txt")"
	else
		failed=$((failed + 1))
		echo "seed $seed failed again: /tmp/soak-regress-$seed.txt"
	fi
	played=$((played + 1))
done <soak/seeds.txt
echo "soak: $played seeds played again, $failed failed"
[ "$failed" -eq 0 ]
