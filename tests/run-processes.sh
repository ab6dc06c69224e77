#!/bin/sh
# Runs the faults that need real processes, under load: SIGKILL, SIGSTOP, a table
# service that hangs or loses answers, and a rolling restart of all instances.
# After each fault all answers are compared with the workers' ledgers.
cd "$(dirname "$0")/.." || exit 1
. tests/cell.sh
trap cell_stop EXIT
INSTANCES=${INSTANCES:-4}
passed=0
failed=0

load_start() { # name seconds
	# shellcheck disable=SC2086
	"$BUILD/gooseberry-load" $ALL_ENTRIES -L "$CELL" -P "$1" -s "$2" -r 500 \
	    -j 6 >"$CELL/load.txt" 2>&1 &
	LOAD_PID=$!
}

load_check() { # name [text that the output must have]
	wait $LOAD_PID
	if [ $? -eq 0 ] && { [ -z "$2" ] || grep -q "$2" "$CELL/load.txt"; }; then
		passed=$((passed + 1))
		echo "held: $1: $(tail -2 "$CELL/load.txt" | tr '\n' ' ')"
	else
		failed=$((failed + 1))
		echo "FAILED: $1"
		cat "$CELL/load.txt"
		grep -h shard: "$CELL"/sched*.log | tail -n 12
	fi
}

shard_owner() { # shard -> instance number
	cell_ctl shards | awk -v s="$1" '$1 == s {print $2}' | tr -d i
}

fault_inject() { # JSON
	"$BUILD/gooseberry-standin-fault" "$STORE" "$1" >/dev/null
}

cell_store
cell_workers 12 5
cell_instances "$INSTANCES"
cell_ready || { echo "the cell did not come up"; cat "$CELL"/*.log; exit 1; }

# A copy, since cell_entry adds an entry to ENTRIES again when it restarts.
ALL_ENTRIES=$ENTRIES
load_start kill-sched 4
sleep 1
victim=$(shard_owner 0)
eval "kill -9 \$SCHED_PID_$victim"
sleep 1
cell_sched "$victim"
load_check "scheduler killed"

load_start stop-sched 6
sleep 1
victim=$(shard_owner 1)
eval "pid=\$SCHED_PID_$victim"
kill -STOP "$pid"
sleep 3
kill -CONT "$pid"
load_check "scheduler frozen for 3 s, beyond its view"

load_start kill-entry 3
sleep 1
kill -9 "$ENTRY_PID_1"
sleep 0.5
cell_entry 1
load_check "entry killed"

load_start service-hangs 6
sleep 1
fault_inject '{"hang": 1}'
sleep 3
fault_inject '{"hang": 0}'
load_check "table service hangs for 3 s"

load_start answers-lost 4
sleep 1
fault_inject '{"lose": 5}'
load_check "answers of five writes lost"

load_start kill-worker 4
sleep 1
kill -9 "$WORKER_PID_5"
sleep 0.5
fault_inject '{"instance": {"name": "w5", "state": 2}}'
load_check "worker killed"

load_start rolling $((INSTANCES * 2 + 2))
sleep 1
i=0
while [ $i -lt "$INSTANCES" ]; do
	eval "kill -TERM \$SCHED_PID_$i \$ENTRY_PID_$i"
	eval "wait \$SCHED_PID_$i \$ENTRY_PID_$i"
	cell_sched $i
	cell_entry $i
	sleep 0.7
	i=$((i + 1))
done
load_check "rolling restart of all instances, none cut off" " cut=0 "

echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
