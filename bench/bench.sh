#!/bin/sh
# All measurements: decisions and memory, added latency against a direct call
# to a stand-in worker, cost at rest at three sizes, cost under load, the time
# from a scheduler's death to its shard's first new start.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
"$BUILD/gooseberry-bench"
"$BUILD/gooseberry-bench-pool"

metric() { # port name
	"$BUILD/gooseberryctl" --server "http://127.0.0.1:$1" --token \
	    operator-token metrics 2>/dev/null | awk -v n="$2" '$1 == n {print $2}'
}

# A job's name whose home is a shard: the one the command line tells.
home_name() { # shard prefix
	n=0
	while [ "$("$BUILD/gooseberryctl" --team byggepas --shards 3 home "$2-$n")" -ne "$1" ]; do
		n=$((n + 1))
	done
	echo "$2-$n"
}

# One instance on its own (entry and scheduler): cpu and bytes of the scheduler.
sample() { # seconds -> cpu_us bytes over that time, of scheduler 0
	c0=$(metric "$ENTRY_PORT_0" gooseberry_process_cpu_us_total)
	b0=$(metric "$ENTRY_PORT_0" gooseberry_rpc_bytes_total)
	w0=$("$BUILD/gooseberry-standin-fault" "$STORE" '{}')
	sleep "$1"
	c1=$(metric "$ENTRY_PORT_0" gooseberry_process_cpu_us_total)
	b1=$(metric "$ENTRY_PORT_0" gooseberry_rpc_bytes_total)
	w1=$("$BUILD/gooseberry-standin-fault" "$STORE" '{}')
	mem=$(metric "$ENTRY_PORT_0" gooseberry_process_memory_bytes)
	echo "cpu_ms_per_s=$(((c1 - c0) / 1000 / $1)) bytes_per_s=$(((b1 - b0) / $1)) memory_mb=$((mem / 1048576)) store_before=$w0 store_after=$w1"
}

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

# From the death of a shard's owner to the first start of its successor.
for try in 1 2 3; do
	victim=$(cell_ctl shards | awk '$1 == 1 {print $2}' | tr -d i)
	before=$(cat "$CELL"/*.ledger | grep -c '^start')
	i=0
	eval "kill -9 \$SCHED_PID_$victim"
	t0=$(date +%s%N)
	entry=$(((victim + 1) % 3))
	eval "port=\$ENTRY_PORT_$entry"
	until "$BUILD/gooseberryctl" --server "http://127.0.0.1:$port" \
	    --token operator-token --team byggepas submit \
	    "$(home_name 1 "t$try")" \
	    --service import >/dev/null 2>&1; do
		sleep 0.02
	done
	until [ "$(cat "$CELL"/*.ledger | grep -c '^start')" -gt "$before" ]; do
		sleep 0.01
	done
	t1=$(date +%s%N)
	echo "bench takeover try=$try first_start_ms=$(((t1 - t0) / 1000000))"
	cell_sched "$victim"
	sleep 4
done
cell_stop

# From the submission of a document to "in force" at 8 instances.
. tests/cell.sh
cell_store
cell_workers 8 0
cell_instances 8
cell_ready || exit 1
sleep 4
for try in 1 2 3 4 5 6 7 8 9 10; do
	t0=$(date +%s%N)
	cell_ctl apply tests/demo/lookup.json >/dev/null || exit 1
	t1=$(date +%s%N)
	echo "bench in_force instances=8 try=$try ms=$(((t1 - t0) / 1000000))"
done
# The same with one scheduler frozen: it cannot be told, so its view has to
# run out.
kill -STOP "$SCHED_PID_5"
for try in 1 2 3; do
	t0=$(date +%s%N)
	cell_ctl apply tests/demo/lookup.json >/dev/null || exit 1
	t1=$(date +%s%N)
	echo "bench in_force_one_frozen instances=8 try=$try ms=$(((t1 - t0) / 1000000))"
done
kill -CONT "$SCHED_PID_5"
