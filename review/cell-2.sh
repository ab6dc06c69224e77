# Starts a small deployment on loopback for a case: the project's emulator of the
# platform (tables, workers, advice, control of faults) and nodes with settings as
# deploy/node.json.tmpl gives them.  Sourced by run.sh of a case, which has set
# CASE to its folder.  Everything that is started is ended by cell_stop.
TOP=$(cd "$CASE/../.." && pwd)
EMULATOR=$TOP/target/review-2/gooseberry-emulator
RELAY=$TOP/target/review-2/relay-2
RELAYS=""
NODE=$TOP/target/gooseberry-node
RECORD=$CASE/record.txt
DIR=$(mktemp -d)
PIDS=""
NODES=${NODES:-8}
WORKERS=${WORKERS:-48}
# In the settings of the two first deployments.
CANCEL_MS=3000
CONTACT_MS=3000

now_ms() { date +%s%3N; }
T0=$(now_ms)

note() { # text: a line of the record, with the time since the start
	printf '%7.3f %s\n' "$(awk "BEGIN { print ($(now_ms) - $T0) / 1000 }")" "$*" >>"$RECORD"
}

port_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Sets PORT: the first of 200 ports on which nothing listens.
ports_choose() {
	tries=0
	while [ $tries -lt 50 ]; do
		tries=$((tries + 1))
		PORT=$((20000 + RANDOM % 110 * 100))
		used=0
		for p in $(seq $PORT $((PORT + 199))); do
			port_free "$p" || used=1
		done
		[ $used -eq 0 ] && return 0
	done
	return 1
}

cell_start() {
	: >"$RECORD"
	[ -x "$EMULATOR" ] && [ -x "$NODE" ] && command -v curl >/dev/null || return 1
	ports_choose || return 1
	STORE=127.0.0.1:$PORT
	ADVICE=127.0.0.1:$((PORT + 1))
	CONTROL=http://127.0.0.1:$((PORT + 2))
	"$EMULATOR" --store="$STORE" --advice="$ADVICE" --control="127.0.0.1:$((PORT + 2))" \
	    --workers="$WORKERS" --worker-port=$((PORT + 100)) \
	    --listed-port=$((PORT + 100)) --seed="${SEED:-1}" >"$DIR/emulator.log" 2>&1 &
	PIDS="$PIDS $!"
	sleep 0.3
	i=1
	while [ $i -le "$NODES" ]; do
		node_start $i
		i=$((i + 1))
	done
}

# With CUT_NODE, other nodes reach each node through a relay, and so does that node
# the store: path_cut takes it off the others and the store until path_heal.  Callers
# still reach it.
relay_start() { # listen port, target port [mark]
	"$RELAY" "$@" >>"$DIR/relay.log" 2>&1 &
	RELAYS="$RELAYS $!"
	PIDS="$PIDS $!"
}

path_cut() { # shellcheck disable=SC2086
	kill -USR1 $RELAYS
}

path_heal() { # shellcheck disable=SC2086
	kill -USR2 $RELAYS
}

node_start() { # number
	advertise=127.0.0.1:$((PORT + 10 + $1))
	store=$STORE
	if [ -n "${CUT_NODE:-}" ]; then
		advertise=127.0.0.1:$((PORT + 90 + $1))
		relay_mark=node-$CUT_NODE
		[ "$1" = "$CUT_NODE" ] && relay_mark="" && store=127.0.0.1:$((PORT + 3)) &&
		    relay_start $((PORT + 3)) "$PORT"
		relay_start $((PORT + 90 + $1)) $((PORT + 10 + $1)) $relay_mark
	fi
	cat >"$DIR/n$1.json" <<EOT
{"name": "node-$1", "dc": "dc-a", "listen": "127.0.0.1:$((PORT + 10 + $1))",
 "advertise": "$advertise",
 "metrics": "127.0.0.1:$((PORT + 30 + $1))", "front": "127.0.0.1:$((PORT + 50 + $1))",
 "ready": "127.0.0.1:$((PORT + 70 + $1))", "store": "$store", "advice": "$ADVICE",
 "cpu_share": "0.25", "link_mbps": "1000.0", "orders": "invocation",
 "lease_ms": 6000, "stop_ms": 200, "keep_s": 120, "grace_s": 6, "files": 4100,
 "off": "", "log_lines": 400}
EOT
	GOOSEBERRYCART_CONFIG="$DIR/n$1.json" "$NODE" >>"$DIR/n$1.log" 2>&1 &
	eval "NODE_PID_$1=$!"
	PIDS="$PIDS $!"
}

control() { # path and query [body]
	curl -s -m 2 -X "${3:-POST}" ${2:+--data "$2"} "$CONTROL$1"
}

http() { # node, method, path [body]: prints the status, 000 without an answer
	curl -s -m "${TIMEOUT:-3}" -o /dev/null -w '%{http_code}' -X "$2" \
	    -H "Host: queue.example" -H "X-Gooseberrycart-Timeout-Ms: 3000" \
	    -H "Content-Type: application/json" ${4:+--data "$4"} \
	    "http://127.0.0.1:$((PORT + 50 + $1))$3"
}

config_send() { # MaxAttempts
	control /config "{\"Version\":3,\"Routes\":[{\"Name\":\"q\",\"Host\":\"queue.example\",
	    \"Prefix\":\"/q/\",\"Service\":\"pool\",\"MaxAttempts\":$1,\"Stretch\":2.0,
	    \"TargetCompletionMs\":2000}],\"Services\":[{\"Name\":\"pool\"}]}" >/dev/null
}

# Waits until the pool has an owner, and all nodes answer.
cell_ready() {
	for n in $(seq 1 "$NODES"); do
		tries=0
		until [ "$(http "$n" GET /q/)" = 200 ]; do
			tries=$((tries + 1))
			[ $tries -gt 100 ] && return 1
			sleep 0.1
		done
	done
}

# Number of the node that owns the pool: the one that has gained the newest epoch.
owner() {
	for n in $(seq 1 "$NODES"); do
		sed -n 's/.*"epoch":\([0-9]*\).*"ownership_gained".*/\1 '"$n"'/p' "$DIR/n$n.log"
	done | sort -n | tail -1 | cut -d' ' -f2
}

cell_reset() { # after cell_stop, before another cell_start
	DIR=$(mktemp -d)
	PIDS=""
	RELAYS=""
}

cell_stop() {
	for pid in $PIDS ${CALLERS:-}; do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] && cp "$DIR"/*.log "$KEEP"/
	rm -rf "$DIR"
}
