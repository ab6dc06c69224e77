# Starts a cell on loopback; sourced by the demo and by tests that need real
# processes.  Sets PIDS; cell_stop ends all that was started, by id.
BUILD=${BUILD:-build}
CELL=$(mktemp -d)
PIDS=""
ENTRIES=""

cell_spawn() { # log command...
	log=$1
	shift
	"$@" >"$CELL/$log.out" 2>"$CELL/$log.log" &
	PIDS="$PIDS $!"
	LAST=$!
}

# Port that a program says it listens on; the system chose it.
cell_port() { # log file
	n=0
	while ! grep -qi 'listening' "$1"; do
		n=$((n + 1))
		[ $n -gt 100 ] && return 1
		sleep 0.05
	done
	sed -n 's/.*[Ll]istening[^0-9]*\([0-9][0-9]*\).*/\1/p' "$1" | head -1
}

cell_dc() { # instance number -> data centre
	case $(($1 % 3)) in
	0) echo aarhus ;;
	1) echo viborg ;;
	*) echo aalborg ;;
	esac
}

cell_store() {
	cell_spawn store "$BUILD/gooseberry-standin-store"
	STORE_PID=$LAST
	STORE=127.0.0.1:$(cell_port "$CELL/store.out")
}

cell_workers() { # how many, ms for a request
	i=0
	while [ $i -lt "$1" ]; do
		rack=$((i / 8))
		cell_spawn "w$i" "$BUILD/gooseberry-standin-worker" -n "w$i" \
		    -s "$STORE" -d "$(cell_dc $rack)" -r "rack$rack" \
		    -p passport -m "$2" -L "$CELL/w$i.ledger"
		eval "WORKER_PID_$i=$LAST"
		i=$((i + 1))
	done
}

cell_sched() { # number; a restart takes the same port again
	eval "port=\${SCHED_PORT_$1:-0}"
	cat >"$CELL/sched$1.json" <<EOT
{"member": "i$1", "dc": "$(cell_dc "$1")",
 "dcs": ["aarhus", "viborg", "aalborg"],
 "listen": "127.0.0.1:$port", "store": "$STORE"}
EOT
	cell_spawn "sched$1" "$BUILD/gooseberry-sched" "$CELL/sched$1.json"
	eval "SCHED_PID_$1=$LAST"
	eval "SCHED_PORT_$1=$(cell_port "$CELL/sched$1.log")"
}

cell_entry() { # number; a restart takes the same port again
	eval "port=\${ENTRY_PORT_$1:-0}"
	eval "own=\$SCHED_PORT_$1"
	cat >"$CELL/entry$1.json" <<EOT
{"member": "i$1", "dc": "$(cell_dc "$1")",
 "dcs": ["aarhus", "viborg", "aalborg"],
 "listen": "127.0.0.1:$port",
 "scheds": ["127.0.0.1:$own", "127.0.0.1:$SCHED_PORT_0"],
 "tokens": {"*": "operator-token", "byggepas": "byggepas-token"}}
EOT
	cell_spawn "entry$1" "$BUILD/gooseberry-entry" "$CELL/entry$1.json"
	eval "ENTRY_PID_$1=$LAST"
	eval "ENTRY_PORT_$1=$(cell_port "$CELL/entry$1.log")"
	ENTRIES="$ENTRIES -e 127.0.0.1:$(eval "echo \$ENTRY_PORT_$1")"
}

cell_instances() { # how many
	i=0
	while [ $i -lt "$1" ]; do
		cell_sched $i
		cell_entry $i
		i=$((i + 1))
	done
}

cell_ctl() {
	"$BUILD/gooseberryctl" --server "http://127.0.0.1:$ENTRY_PORT_0" \
	    --token operator-token --team byggepas "$@"
}

# Wait until all shards are served and a document can be applied.
cell_ready() {
	n=0
	while [ "$(cell_ctl shards 2>/dev/null | grep -c -v -e ' - ' -e SHARD)" -lt 3 ]; do
		n=$((n + 1))
		[ $n -gt 100 ] && return 1
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
