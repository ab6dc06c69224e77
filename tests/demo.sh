#!/bin/sh
# Shows a cell at work: 8 instances, 50 workers in racks of eight over three
# data centres, and callers that send lookups, renewals, imports and gangs.  A
# scheduler and an entry are killed under load.  Every answer is compared with
# the ledgers, in which the workers write what they ran.
cd "$(dirname "$0")/.." || exit 1
. tests/cell.sh
trap cell_stop EXIT
cell_store
cell_workers 50 2
cell_instances 8
cell_ready || { echo "demo: the cell did not come up"; cat "$CELL"/*.log; exit 1; }
# shellcheck disable=SC2086
"$BUILD/gooseberry-load" $ENTRIES -L "$CELL" -P demo -s 5 -r 2000 -j 30 &
LOAD=$!
sleep 1.5
victim=$(cell_ctl shards | awk 'NR == 2 {print $2}' | tr -d i)
eval "kill -9 \$SCHED_PID_$victim"
sleep 1
kill -9 "$ENTRY_PID_7"
wait $LOAD
status=$?
[ $status -eq 0 ] || grep -h . "$CELL"/*.log | tail -20
exit $status
