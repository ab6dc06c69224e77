#!/bin/bash
# A cancelled submission runs: DELETE is answered 410, and the write that stores the
# submission, which the store has carried out late, is adopted afterwards.
#
# Callers submit, and cancel as soon as they have an answer, whatever it is.  For
# 4.5 s the store loses the answers of 30% of the writes and carries them out 1 to
# 6 s later; meanwhile the process that owns the pool is killed once, and is
# started again after a second.  Exit: 1 if a task of a cancelled submission starts later than cancel_ms
# after the cancel was acknowledged, and after a stretch of ContactMs without any
# disturbance; 0 if not; 2 if the case could not run.  TROUBLE=0: nothing is lost or
# killed.
CASE=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
SEED=${SEED:-$((RANDOM + 1))}
. "$CASE/../cell-2.sh"
trap cell_stop EXIT
FLOW='{"Spec":"ms=4000","Steps":[{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":4000},
{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":4000,"After":[0]},
{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":4000,"After":[1]},
{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":4000,"After":[2]},
{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":4000,"After":[3]}]}'
LATE_MS=6000

caller() { # number: submits, then cancels until that is acknowledged
	id=$(printf '%016x' $((0xa000 + $1)))
	node=$(($1 % NODES + 1))
	control "/flow/$id?attempts=4" "$FLOW" >/dev/null
	code=$(http $node POST /q/$id "$FLOW")
	note "POST $id at node $node: $code"
	for try in 1 2 3 4 5 6 7 8 9; do
		node=$((node % NODES + 1))
		cancel=$(http $node DELETE /q/$id)
		note "DELETE $id at node $node: $cancel"
		if [ "$cancel" = 200 ] || [ "$cancel" = 410 ]; then
			echo "$id $code $cancel $(now_ms)" >"$DIR/acked.$id"
			return
		fi
		sleep 0.3
	done
}

starts() { # id: how many tasks workers have started
	control "/flow/$1" "" GET | sed -n 's/.*"starts": *\([0-9]*\).*/\1/p'
}

cell_start || exit 2
config_send 4
cell_ready || exit 2
note "seed $SEED, the owner is node $(owner)"
sleep 4
if [ "$TROUBLE" != 0 ]; then
	control "/store?late=30" >/dev/null
	note "the store loses answers of 30% of the writes, which are done 1 to 6 s later"
fi
CALLERS=""
callers() { # first, last: starts one caller each 25 ms
	for i in $(seq "$1" "$2"); do
		caller "$i" &
		CALLERS="$CALLERS $!"
		sleep 0.02
	done
}
callers 1 10
if [ "$TROUBLE" != 0 ]; then
	owner=$(owner)
	eval "kill -9 \$NODE_PID_$owner"
	note "node $owner, which owns the pool, is killed"
fi
callers 11 50
sleep 0.4
if [ "$TROUBLE" != 0 ]; then
	node_start "$owner"
	note "node $owner is started again"
fi
callers 51 60
sleep 0.8
control "/store?late=0" >/dev/null
end=$(now_ms)
note "no answer is lost from here on; the last write is done after $LATE_MS ms"
# shellcheck disable=SC2086
wait $CALLERS
while [ "$(now_ms)" -lt $((end + LATE_MS + CONTACT_MS + 1000)) ]; do
	sleep 0.1
done
note "calm for $CONTACT_MS ms"
for file in "$DIR"/acked.*; do
	read -r id code cancel acked <"$file" || exit 2
	[ $((acked + CANCEL_MS)) -lt "$(now_ms)" ] && echo "$id $code $cancel $(starts "$id")"
done >"$DIR/before"
sleep 8
broken=0
while read -r id code cancel before; do
	after=$(starts "$id")
	[ "$after" -gt "$before" ] || continue
	broken=$((broken + 1))
	note "BROKEN: $id was answered $code, its cancel $cancel; $before tasks were started before the calm, $after now; GET: $(http 1 GET /q/$id)"
done <"$DIR/before"
note "$(wc -l <"$DIR/before") cancels were acknowledged, of which $(grep -c ' 410 ' "$DIR/before") with 410; $broken submissions went on"
[ -s "$DIR/before" ] || exit 2
[ $broken -eq 0 ]
