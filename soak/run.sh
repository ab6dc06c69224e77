#!/bin/sh
# Runs the soak with each seed of a range, PARALLEL seeds at a time.
#   soak/run.sh FROM TO [options of gooseberry-soak]
# Keeps the logs of seeds that violated a guarantee and removes the others.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
PARALLEL=${PARALLEL:-4}
from=$1
to=$2
shift 2
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT

# Runs every PARALLEL-th seed, on ports of its own.
run_seeds() { # number of the series, options
	series=$1
	shift
	seed=$((from + series))
	while [ "$seed" -le "$to" ]; do
		"$BUILD/gooseberry-soak" --build "$BUILD" --seed "$seed" \
		    --port $((21000 + series * 2500)) "$@" >"$OUT/$seed" 2>&1
		status=$?
		tail -1 "$OUT/$seed"
		if [ $status -eq 0 ]; then
			rm -rf "$(sed -n 's/.* logs=//p' "$OUT/$seed")"
		else
			cat "$OUT/$seed" >"/tmp/soak-failed-$seed.txt"
			grep BROKEN "$OUT/$seed" | head -5
			echo "$seed" >>"$OUT/failed"
		fi
		seed=$((seed + PARALLEL))
	done
}

i=0
while [ $i -lt "$PARALLEL" ]; do
	run_seeds $i "$@" &
	i=$((i + 1))
done
wait
failed=0
[ -f "$OUT/failed" ] && failed=$(wc -l <"$OUT/failed")
echo "soak: $((to - from + 1)) seeds, $failed failed"
[ "$failed" -eq 0 ]
