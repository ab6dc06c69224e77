#!/bin/bash
# The owner and one worker are lost while the first step of a large submission
# runs: the next owner's row of the submission is larger than the store takes.
HERE=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../cell.sh
. "$HERE/../cell.sh"
NODES=8
TASKS=1000
LARGE=5c0e7a21d94b36a1

submit() { # id, steps
	local answer
	answer=$(call "$OBSERVER" POST "/lohu930/$1" "{\"Spec\":\"ms=5000\",\"Steps\":[$2]}")
	[[ $answer == 200* ]] || unable "$1 was not accepted: $answer"
}

start_platform --nodes $NODES --workers 48
for n in $(seq 0 $((NODES - 1))); do start_node "$n"; done
send_config '{"Name":"r-73d3zji","Host":"nony24.example","Prefix":"/lohu930/","Kind":"unsafe","TimeoutMs":3000,"TargetCompletionMs":3000,"Priority":2,"Service":"passport-svc","MaxAttempts":4,"Stretch":4.0}'
wait_ready
OWNER=$(owner)
OBSERVER=$(((OWNER + 1) % NODES))
say "front-$OWNER owns the pool"
submit $LARGE "{\"Count\":1,\"Cpu\":300,\"MemMb\":128,\"EstimatedMs\":5000},{\"Count\":$TASKS,\"Cpu\":300,\"MemMb\":128,\"EstimatedMs\":5000,\"After\":[0]}"
sleep 0.5
if [ "$TROUBLE" = 1 ]; then
	control /worker/7/crash >/dev/null
	kill_node "$OWNER"
	sleep 1
	say "start front-$OWNER again"
	start_node "$OWNER"
fi

# Others hand in small submissions, at all nodes.
sleep 8
SMALL=()
for i in $(seq 10 29); do
	id=5c0e7a21d94b37$i
	answer=$(call $((i % NODES)) POST "/lohu930/$id" '{"Spec":"ms=500","Steps":[{"Count":2,"Cpu":500,"MemMb":256,"EstimatedMs":500}]}')
	[[ $answer == 200* ]] && SMALL+=("$id")
done
say "${#SMALL[@]} of 20 small submissions were accepted"

# There is no other traffic.  By finish_s (14 s) all of them have to have run.
for i in $(seq 1 24); do
	sleep 1
	state=$(call "$OBSERVER" GET "/lohu930/$LARGE")
	say "after $i s: $state, running on all workers: $(control /running)"
	[[ $i -gt 2 && $state == *succeeded* ]] && break
done
lost=0
for id in "${SMALL[@]}"; do
	answer=$(call "$OBSERVER" GET "/lohu930/$id")
	[[ $answer == *succeeded* ]] && continue
	lost=$((lost + 1))
	say "LOST: $id was accepted, starts: $(grep -c "start task=$id\." "$RECORD"), state: $answer"
done
starts=$(grep -c "start task=$LARGE\.0\.1\." "$RECORD")
say "starts of the second step of $LARGE: $starts; small ones that have not run: $lost"
if [[ $state != *succeeded* && $starts = 0 ]]; then
	say "LOST: $LARGE was accepted; its second step has never started on an idle pool"
	lost=$((lost + 1))
fi
[ $lost = 0 ] || exit 1
[[ $state == *succeeded* ]] || unable "it runs and has not ended: $state"
exit 0
