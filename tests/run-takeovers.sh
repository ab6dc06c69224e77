#!/bin/sh
# Checks that the pool is taken over only for a reason.  In one run connections
# between all nodes go silent at once; in the other an owner is cut off from the
# other nodes but reaches the store and the workers.  The soak test checks each
# takeover.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
PORT=${PORT:-21000}
failed=0
for run in '1 --storm --only peers_silence --seconds 8' \
    '1 --only owner_cut --seconds 10'; do
	# $run is the seed followed by options, so it is not quoted.
	# shellcheck disable=SC2086
	"$BUILD/gooseberry-soak" --build "$BUILD" --port "$PORT" --nodes 4 \
	    --workers 12 --seed $run >/tmp/gb-takeovers.$$ 2>&1 || {
		failed=$((failed + 1))
		echo "takeovers: seed $run failed"
		cat /tmp/gb-takeovers.$$
		continue
	}
	rm -rf "$(sed -n 's/.* logs=//p' /tmp/gb-takeovers.$$)"
done
rm -f /tmp/gb-takeovers.$$
echo "takeovers: 2 runs, $failed failed"
[ $failed -eq 0 ]
