# Starts a cell of real processes on loopback: the table service, workers,
# schedulers and entries.  Sourced by the demo and by tests.  PIDS has the ids
# of all processes that were started; cell_stop ends them.
BUILD=${BUILD:-build}
CELL=$(mktemp -d)
PIDS=""
ENTRIES=""

cell_spawn() { # log name, command and its arguments; sets LAST_PID
	log=$1
	shift
	"$@" >"$CELL/$log.out" 2>"$CELL/$log.log" &
	PIDS="$PIDS $!"
	LAST_PID=$!
}

# Print the port on which a program listens, as its log has it; the system may
# have chosen it.  Fails after 5 s.
cell_port() { # log file
	polls=0
	while ! grep -qi 'listening' "$1"; do
		polls=$((polls + 1))
		[ $polls -gt 100 ] && return 1
		sleep 0.05
	done
	sed -n 's/.*[Ll]istening[^0-9]*\([0-9][0-9]*\).*/\1/p' "$1" | head -1
}

cell_dc() { # number of an instance or a rack; prints its data centre
	case $(($1 % 3)) in
	0) echo aarhus ;;
	1) echo viborg ;;
	*) echo aalborg ;;
	esac
}

cell_store() {
	cell_spawn store "$BUILD/gooseberry-standin-store"
	STORE_PID=$LAST_PID
	STORE=127.0.0.1:$(cell_port "$CELL/store.out")
}

cell_workers() { # how many, run time of a request in ms
	i=0
	while [ $i -lt "$1" ]; do
		rack=$((i / 8))
		cell_spawn "w$i" "$BUILD/gooseberry-standin-worker" -n "w$i" \
		    -s "$STORE" -d "$(cell_dc $rack)" -r "rack$rack" \
		    -p passport -m "$2" -L "$CELL/w$i.ledger"
		eval "WORKER_PID_$i=$LAST_PID"
		i=$((i + 1))
	done
}

cell_sched() { # instance number; a restart uses the same port
	eval "port=\${SCHED_PORT_$1:-0}"
	cat >"$CELL/sched$1.json" <<EOT
{"member": "i$1", "dc": "$(cell_dc "$1")",
 "dcs": ["aarhus", "viborg", "aalborg"],
 "listen": "127.0.0.1:$port", "store": "$STORE"}
EOT
	cell_spawn "sched$1" "$BUILD/gooseberry-sched" "$CELL/sched$1.json"
	eval "SCHED_PID_$1=$LAST_PID"
	eval "SCHED_PORT_$1=$(cell_port "$CELL/sched$1.log")"
}

cell_entry() { # instance number; a restart uses the same port
	eval "port=\${ENTRY_PORT_$1:-0}"
	eval "sched_port=\$SCHED_PORT_$1"
	cat >"$CELL/entry$1.json" <<EOT
{"member": "i$1", "dc": "$(cell_dc "$1")",
 "dcs": ["aarhus", "viborg", "aalborg"],
 "listen": "127.0.0.1:$port",
 "scheds": ["127.0.0.1:$sched_port", "127.0.0.1:$SCHED_PORT_0"],
 "tokens": {"*": "operator-token", "byggepas": "byggepas-token"}}
EOT
	cell_spawn "entry$1" "$BUILD/gooseberry-entry" "$CELL/entry$1.json"
	eval "ENTRY_PID_$1=$LAST_PID"
	eval "ENTRY_PORT_$1=$(cell_port "$CELL/entry$1.log")"
	ENTRIES="$ENTRIES -e 127.0.0.1:$(eval "echo \$ENTRY_PORT_$1")"
}

cell_instances() { # how many, each with a scheduler and an entry
	i=0
	while [ $i -lt "$1" ]; do
		cell_sched $i
		cell_entry $i
		i=$((i + 1))
	done
}

cell_ctl() { # command and its arguments, for the first entry
	"$BUILD/gooseberryctl" --server "http://127.0.0.1:$ENTRY_PORT_0" \
	    --token operator-token --team byggepas "$@"
}

# Wait until all three shards have an owner, and apply the documents of
# tests/demo.  Fails when a shard has no owner after 100 polls (over 10 s).
cell_ready() {
	polls=0
	while [ "$(cell_ctl shards 2>/dev/null | grep -c -v -e ' - ' -e SHARD)" -lt 3 ]; do
		polls=$((polls + 1))
		[ $polls -gt 100 ] && return 1
		sleep 0.1
	done
	for doc in tests/demo/*.json; do
		cell_ctl apply "$doc" >/dev/null || return 1
	done
}

cell_stop() {
	for pid in $PIDS; do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$CELL"
}
