#!/bin/sh
# Many seeds of the soak, some at a time.
#   soak/run.sh FROM TO [options of gooseberry-soak]
# Logs of seeds that broke a promise are kept; the others are removed.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
PARALLEL=${PARALLEL:-4}
from=$1
to=$2
shift 2
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT

lane() { # lane number, options: each lane has ports of its own
	lane=$1
	shift
	seed=$((from + lane))
	while [ "$seed" -le "$to" ]; do
		"$BUILD/gooseberry-soak" --build "$BUILD" --seed "$seed" \
		    --port $((21000 + lane * 2500)) "$@" >"$OUT/$seed" 2>&1
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
	lane $i "$@" &
	i=$((i + 1))
done
wait
failed=0
[ -f "$OUT/failed" ] && failed=$(wc -l <"$OUT/failed")
echo "soak: $((to - from + 1)) seeds, $failed failed"
[ "$failed" -eq 0 ]
