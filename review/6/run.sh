#!/bin/bash
# A cancelled submission runs: the node that took it in was cut off for some seconds, and
# its call to the owner arrives when the cut has healed.
#
# Callers submit at a node that has just been cut off from the other nodes and the
# store, and cancel at another one as soon as they have an answer, whatever it is.
# Exit: 1 if a task of a cancelled submission starts later than cancel_ms after the
# cancel was acknowledged, and after a stretch of ContactMs without any disturbance; 0
# if not; 2 if the case could not run.  TROUBLE=0: nothing is cut.
CASE=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
SEED=${SEED:-$((RANDOM + 1))}
CUT_NODE=3
CUT_S=${CUT_S:-5}
. "$CASE/../cell-2.sh"
trap cell_stop EXIT
FLOW='{"Spec":"ms=4000","Steps":[{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":4000},
{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":4000,"After":[0]},
{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":4000,"After":[1]},
{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":4000,"After":[2]}]}'

caller() { # number: submits at the node that is cut off, cancels elsewhere
	id=$(printf '%016x' $((0xa000 + $1)))
	code=$(http $CUT_NODE POST /q/$id "$FLOW")
	note "POST $id at node $CUT_NODE: $code"
	node=$CUT_NODE
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

# The node to be cut off must not own the pool.
for try in 1 2 3 4 5 6; do
	cell_start || exit 2
	config_send 4
	cell_ready || exit 2
	sleep 4
	owner=$(owner)
	[ "$owner" != $CUT_NODE ] && break
	cell_stop
	cell_reset
done
note "seed $SEED, the owner is node $owner"
[ "$owner" != $CUT_NODE ] || exit 2
for i in $(seq 1 12); do
	control "/flow/$(printf '%016x' $((0xa000 + i)))?attempts=4" "$FLOW" >/dev/null
done
if [ "$TROUBLE" != 0 ]; then
	path_cut
	note "node $CUT_NODE is cut off from the other nodes and the store"
fi
began=$(now_ms)
CALLERS=""
for i in $(seq 1 12); do
	caller "$i" &
	CALLERS="$CALLERS $!"
	sleep 0.04
done
while [ "$(now_ms)" -lt $((began + CUT_S * 1000)) ]; do
	sleep 0.05
done
path_heal
end=$(now_ms)
note "the cut has healed"
# shellcheck disable=SC2086
wait $CALLERS
while [ "$(now_ms)" -lt $((end + CONTACT_MS + 1000)) ]; do
	sleep 0.1
done
note "calm for $CONTACT_MS ms"
for file in "$DIR"/acked.*; do
	read -r id code cancel acked <"$file" || exit 2
	[ $((acked + CANCEL_MS)) -lt "$(now_ms)" ] && echo "$id $code $cancel $(starts "$id")"
done >"$DIR/before"
sleep 9
broken=0
while read -r id code cancel before; do
	after=$(starts "$id")
	note "$id: $before tasks were started before the calm, $after by the end"
	[ "$after" -gt "$before" ] || continue
	broken=$((broken + 1))
	note "BROKEN: $id was answered $code, its cancel $cancel; $before tasks were started before the calm, $after now; GET: $(http 1 GET /q/$id)"
done <"$DIR/before"
note "$(wc -l <"$DIR/before") cancels were acknowledged, of which $(grep -c ' 410 ' "$DIR/before") with 410; $broken submissions went on"
[ -s "$DIR/before" ] || exit 2
[ $broken -eq 0 ]
