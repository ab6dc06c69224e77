#!/bin/bash
# A node is killed while it asks for advice on a gang: the gang never starts.
HERE=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../cell.sh
. "$HERE/../cell.sh"
NODES=8
GANG=24   # tasks of 7.6 cores: two fit on a worker, so 12 workers are needed
ALLOWED=24 # workers that the policy allows: room for the gang twice over

# Print the numbers of the calling node and of the approved workers of the call
# that is to be lost: not the owner's, and with more than half of the allowed
# workers, so that the other call has room for less than the gang.
call_to_lose() {
	control /advice | tr -d '[]' | tr ' ' ',' | awk -F, -v owner="$OWNER" -v half=$((ALLOWED / 2)) '
	    NF == 5 { for (i = 2; i < 5; i += 2)
		if ($i != owner && $(i + 1) > half && $(i + 1) < 2 * half) print $i, $(i + 1) }'
}

submission_state() {
	call "$OBSERVER" GET "/lohu930/$ID"
}

start_platform --nodes $NODES --workers 48 --approved $ALLOWED --decide-ms 510 --per-item-ms 7
for n in $(seq 0 $((NODES - 1))); do start_node "$n"; done
send_config '{"Name":"r-3hwrr6x","Host":"nony24.example","Prefix":"/lohu930/","Kind":"unsafe","TimeoutMs":3000,"TargetCompletionMs":1000,"Priority":1,"Service":"passport-svc","MaxAttempts":2,"Stretch":2.2,"Advice":{"DecideMs":510.0,"PerItemMs":7.2,"ValidMs":1500}}'
wait_ready
OWNER=$(owner)
OBSERVER=$OWNER
say "front-$OWNER owns the pool"

# Submissions come one at a time on an idle pool, until a call as wanted is in
# flight.
for i in $(seq 1 9); do
	ID=5c0e7a21d94b36f$i
	answer=$(call "$OWNER" POST "/lohu930/$ID" "{\"Spec\":\"ms=1000 gang=$GANG ticket=1\",\"Steps\":[{\"Count\":$GANG,\"Cpu\":7600,\"MemMb\":1024,\"EstimatedMs\":1000,\"Gang\":true}]}")
	[[ $answer == 200* ]] || unable "the submission was not accepted: $answer"
	read -r LOST APPROVED < <(call_to_lose)
	[ -n "$LOST" ] && break
	sleep 3
done
[ -n "$LOST" ] || unable "no call of a member with more than half of the allowed workers"
say "front-$LOST asks about $APPROVED of the $ALLOWED workers that the policy allows"
if [ "$TROUBLE" = 1 ]; then
	kill_node "$LOST"
	sleep 1
	say "start front-$LOST again"
	start_node "$LOST"
fi

# There is no other traffic.  By finish_s (14 s) the gang has to have run.
for i in $(seq 1 30); do
	sleep 1
	state=$(submission_state)
	say "after $i s: $state, running on all workers: $(control /running)"
	case $state in *succeeded* | *failed*) break ;; esac
done
starts=$(grep -c "start task=$ID\." "$RECORD")
say "starts of $ID: $starts, state: $state"
if [ "$starts" = 0 ]; then
	say "LOST: $ID was accepted and nothing of it has started for 30 s on an idle pool"
	exit 1
fi
[[ $state == *succeeded* ]] || unable "it started and has not ended: $state"
exit 0
