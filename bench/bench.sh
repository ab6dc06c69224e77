#!/bin/sh
# Prints all measurements: cost of decisions and memory, the cost of an idle cell
# by workers and by instances, the latency that entry and scheduler add to a
# direct call of a stand-in worker, the cost under load, the time from the kill
# of a scheduler to the first start by its successor, and the time until a change
# of a document is in force.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
"$BUILD/gooseberry-bench"
"$BUILD/gooseberry-bench-pool"

metric() { # port of an entry, name; prints the value
	"$BUILD/gooseberryctl" --server "http://127.0.0.1:$1" --token \
	    operator-token metrics 2>/dev/null | awk -v n="$2" '$1 == n {print $2}'
}

# Print a job name that hashes to the shard.
home_name() { # shard, prefix of the name
	suffix=0
	while [ "$("$BUILD/gooseberryctl" --team byggepas --shards 3 home "$2-$suffix")" -ne "$1" ]; do
		suffix=$((suffix + 1))
	done
	echo "$2-$suffix"
}

# Print processor time and bytes a second, and the memory, of scheduler 0, and
# the counts of the table service before and after.
sample() { # seconds to measure
	cpu_before=$(metric "$ENTRY_PORT_0" gooseberry_process_cpu_us_total)
	bytes_before=$(metric "$ENTRY_PORT_0" gooseberry_rpc_bytes_total)
	store_before=$("$BUILD/gooseberry-standin-fault" "$STORE" '{}')
	sleep "$1"
	cpu_after=$(metric "$ENTRY_PORT_0" gooseberry_process_cpu_us_total)
	bytes_after=$(metric "$ENTRY_PORT_0" gooseberry_rpc_bytes_total)
	store_after=$("$BUILD/gooseberry-standin-fault" "$STORE" '{}')
	memory=$(metric "$ENTRY_PORT_0" gooseberry_process_memory_bytes)
	echo "cpu_ms_per_s=$(((cpu_after - cpu_before) / 1000 / $1)) bytes_per_s=$(((bytes_after - bytes_before) / $1)) memory_mb=$((memory / 1048576)) store_before=$store_before store_after=$store_after"
}

# Cost of an idle cell, by workers, then by instances.
for workers in 24 72 144; do
	. tests/cell.sh
	cell_store
	cell_workers $workers 0
	cell_instances 1
	cell_ready || exit 1
	sleep 2
	echo "bench rest instances=1 workers=$workers $(sample 5)"
	cell_stop
done

for instances in 2 4 8; do
	. tests/cell.sh
	cell_store
	cell_workers 24 0
	cell_instances $instances
	cell_ready || exit 1
	sleep 6
	echo "bench rest instances=$instances workers=24 $(sample 5)"
	cell_stop
done

. tests/cell.sh
trap cell_stop EXIT
cell_store
cell_workers 24 0
cell_instances 3
cell_ready || exit 1
sleep 4
# Latency of direct calls and of calls through entry and scheduler.  The data
# centre nowhere is not one of the cell, so no scheduler uses the worker.
cell_spawn direct "$BUILD/gooseberry-standin-worker" -n direct -s "$STORE" \
    -d nowhere -r none
port=$(cell_port "$CELL/direct.out")
sleep 0.5
for parallel in 1 16; do
	"$BUILD/gooseberry-direct" 127.0.0.1:$port $parallel 3
	# shellcheck disable=SC2086
	"$BUILD/gooseberry-load" $ENTRIES -P "through$parallel" -s 3 -w 0 \
	    -p $parallel | head -1
done
(sleep 1; echo "bench load instances=3 workers=24 rate=2000 $(sample 3)") &
# shellcheck disable=SC2086
"$BUILD/gooseberry-load" $ENTRIES -P rate -s 5 -w 0 -r 2000 -p 64 | head -1
wait $!

# Time from the kill of a shard's owner to the first start by its successor.
for try in 1 2 3; do
	victim=$(cell_ctl shards | awk '$1 == 1 {print $2}' | tr -d i)
	starts_before=$(cat "$CELL"/*.ledger | grep -c '^start')
	i=0
	eval "kill -9 \$SCHED_PID_$victim"
	begin_ns=$(date +%s%N)
	entry=$(((victim + 1) % 3))
	eval "port=\$ENTRY_PORT_$entry"
	until "$BUILD/gooseberryctl" --server "http://127.0.0.1:$port" \
	    --token operator-token --team byggepas submit \
	    "$(home_name 1 "t$try")" \
	    --service import >/dev/null 2>&1; do
		sleep 0.02
	done
	until [ "$(cat "$CELL"/*.ledger | grep -c '^start')" -gt "$starts_before" ]; do
		sleep 0.01
	done
	end_ns=$(date +%s%N)
	echo "bench takeover try=$try first_start_ms=$(((end_ns - begin_ns) / 1000000))"
	cell_sched "$victim"
	sleep 4
done
cell_stop

# Time from the submission of a document until it is in force at 8 instances.
. tests/cell.sh
cell_store
cell_workers 8 0
cell_instances 8
cell_ready || exit 1
sleep 4
for try in 1 2 3 4 5 6 7 8 9 10; do
	begin_ns=$(date +%s%N)
	cell_ctl apply tests/demo/lookup.json >/dev/null || exit 1
	end_ns=$(date +%s%N)
	echo "bench in_force instances=8 try=$try ms=$(((end_ns - begin_ns) / 1000000))"
done
# The same with one scheduler paused: it can't receive the change, so the change
# is in force only once that scheduler's view has expired.
kill -STOP "$SCHED_PID_5"
for try in 1 2 3; do
	begin_ns=$(date +%s%N)
	cell_ctl apply tests/demo/lookup.json >/dev/null || exit 1
	end_ns=$(date +%s%N)
	echo "bench in_force_one_frozen instances=8 try=$try ms=$(((end_ns - begin_ns) / 1000000))"
done
kill -CONT "$SCHED_PID_5"
