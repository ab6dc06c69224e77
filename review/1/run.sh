#!/bin/bash
# A switch fails: the owner and the eight workers of a rack behind it reach each
# other and nothing else.  The other nodes have a new owner then, and the tasks
# of the rack are started a second time while they run on.
HERE=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../cell.sh
. "$HERE/../cell.sh"
NODES=8
CUT_WORKERS=8
CUT_S=5.4
ID=5c0e7a21d94b36c1

start_platform --nodes $NODES --workers 48
for n in $(seq 0 $((NODES - 1))); do start_node "$n"; done
send_config '{"Name":"r-73d3zji","Host":"nony24.example","Prefix":"/lohu930/","Kind":"unsafe","TimeoutMs":3000,"TargetCompletionMs":3000,"Priority":2,"Service":"passport-svc","MaxAttempts":4,"Stretch":4.0}'
wait_ready
OWNER=$(owner)
OBSERVER=$(((OWNER + 1) % NODES))
say "front-$OWNER owns the pool"
answer=$(call "$OBSERVER" POST "/lohu930/$ID" '{"Spec":"ms=12000","Steps":[{"Count":48,"Cpu":4000,"MemMb":1024,"EstimatedMs":12000}]}')
[[ $answer == 200* ]] || unable "not accepted: $answer"
sleep 2
if [ "$TROUBLE" = 1 ]; then
	control "/cut?node=$OWNER&workers=$CUT_WORKERS&refuse" >/dev/null
	say "front-$OWNER and $CUT_WORKERS workers are cut off for $CUT_S s"
	sleep $CUT_S
	control "/heal?node=$OWNER" >/dev/null
else
	sleep $CUT_S
fi
for i in $(seq 1 40); do
	sleep 1
	state=$(call "$OBSERVER" GET "/lohu930/$ID")
	[[ $state == *succeeded* ]] && break
done
# Runs of one task that overlap, on workers that are up.
awk '/ (start|end|lost) task=/ { split($3, t, "="); split($4, r, "=")
	if ($2 == "start") {
		if (running[t[2]] > 0) { print "TWICE:", $0; twice++ }
		running[t[2]]++
	} else running[t[2]]--
     }
     END { exit twice > 0 }' "$RECORD" >"$WORK/twice"
broken=$?
tail -3 "$WORK/twice" | while read -r line; do say "$line"; done
say "starts beside a run of the same task: $(grep -c TWICE "$WORK/twice"), state $state"
[ $broken = 0 ] || exit 1
[[ $state == *succeeded* ]] || unable "it has not ended: $state"
exit 0
