# Functions of the cases' scripts: a cell of real nodes and the stand-in for the
# platform, on loopback.  Sourced by run.sh of a case, which has set HERE.
# shellcheck shell=bash
ROOT=$(cd "$HERE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
RECORD=$HERE/record.txt
PIDS=()
NODE_PIDS=()
: >"$RECORD"

cell_end() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$WORK"
}
trap cell_end EXIT

say() { # what the script does and sees, in the record
	printf '%s %s\n' "$(date +%H:%M:%S.%3N)" "$*" >>"$RECORD"
}

unable() {
	say "could not run: $*"
	echo "could not run: $*"
	exit 2
}

# Start the stand-in on a block of free ports: review-platform --help
# has the offsets.  Below the ports that the system gives to clients.
start_platform() { # options of the stand-in
	local try
	[ -x "$ROOT/review/review-platform" ] || unable "review/build.sh has not run"
	[ -x "$ROOT/target/gooseberry-node" ] || unable "the deploy file is not built"
	for try in $(seq 20); do
		PORT=$((15000 + (RANDOM % 80) * 200))
		"$ROOT/review/review-platform" --port "$PORT" --record "$RECORD" \
		    "$@" >"$WORK/platform.log" 2>&1 &
		sleep 0.4
		if kill -0 $! 2>/dev/null; then
			PIDS+=($!)
			return
		fi
	done
	unable "the stand-in ended: $(cat "$WORK/platform.log")"
}

# The settings are what deploy/node.json.tmpl makes of a small deployment's, and
# the address where the others reach the node, so that its link can be cut.
start_node() { # number from 0
	local n=$1
	cat >"$WORK/node-$n.json" <<EOT
{"name": "front-$n", "dc": "aarhus-a", "listen": "127.0.0.1:$((PORT + 40 + n))",
 "metrics": "127.0.0.1:$((PORT + 50 + n))", "front": "127.0.0.1:$((PORT + 60 + n))",
 "ready": "127.0.0.1:$((PORT + 70 + n))", "store": "127.0.0.1:$((PORT + 80 + n))",
 "advertise": "127.0.0.1:$((PORT + 20 + n))", "advice": "127.0.0.1:$((PORT + 10 + n))", "cpu_share": "0.25", "link_mbps": "1000.0",
 "orders": "invocation", "lease_ms": 6000, "stop_ms": 200, "keep_s": 120,
 "grace_s": 6, "files": 4100, "off": "", "log_lines": 400}
EOT
	(cd "$ROOT" && GOOSEBERRYCART_CONFIG="$WORK/node-$n.json" \
	    exec target/gooseberry-node) >>"$WORK/node-$n.log" 2>&1 &
	NODE_PIDS[n]=$!
	PIDS+=($!)
}

# Send a request and print the status, then the body, on one line.
request() { # port, method, path, [body]
	local line status body=${4-}
	{ exec 3<>"/dev/tcp/127.0.0.1/$1"; } 2>/dev/null || { echo 000; return; }
	printf '%s %s HTTP/1.1\r\nHost: nony24.example\r\nConnection: close\r\nX-Gooseberrycart-Timeout-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
	    "$2" "$3" "${#body}" "$body" >&3
	status=000
	body=
	IFS= read -r -t 8 line <&3 && status=$(printf '%s' "$line" | cut -d' ' -f2)
	# The body is one line of JSON, between the sizes of its chunks.
	while IFS= read -r -t 8 line <&3 || [ -n "$line" ]; do
		case $line in '{'* | '['* | [0-9]) body=${line%$'\r'} ;; esac
		[ "$line" = $'0\r' ] && break
	done
	exec 3>&-
	echo "$status $body"
}

kill_node() { # number
	say "kill front-$1"
	kill -KILL "${NODE_PIDS[$1]}"
	wait "${NODE_PIDS[$1]}" 2>/dev/null
}

control() { # path, [body]
	kill -0 "${PIDS[0]}" 2>/dev/null || unable "the stand-in ended"
	request $((PORT + 1)) POST "$1" "${2-}"
}

# Send a request to a node as a requester does: again at the next node after no
# answer, a 502, a 503 or a 504.  The first node is $1.
call() { # node, method, path, [body]
	local n=$1 try answer
	shift
	for try in 1 2 3 4 5; do
		answer=$(request $((PORT + 60 + n)) "$@" 2>/dev/null)
		say "$1 $2 at front-$n: $answer"
		case $answer in
		000* | 502* | 503* | 504* | "") ;;
		*) break ;;
		esac
		n=$(((n + 1) % ${#NODE_PIDS[@]}))
		sleep 0.3
	done
	echo "$answer"
}

send_config() { # routes as JSON
	control /config "{\"Version\":7,\"Routes\":[$1],\"Services\":[{\"Name\":\"passport-svc\",\"HealthPath\":\"/health\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\"EnforcesCapacity\":false,\"Standby\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}" >/dev/null
}

# Wait until all nodes are ready and one of them owns the pool.
wait_ready() {
	local n try
	for n in "${!NODE_PIDS[@]}"; do
		for try in $(seq 100); do
			[[ $(request $((PORT + 70 + n)) GET /gooseberrycart/ready 2>/dev/null) == 200* ]] && break
			sleep 0.1
			[ "$try" = 100 ] && unable "front-$n is not ready"
		done
	done
	sleep 2
}

# Number of the node that owns the pool, by the last line of the logs.
owner() {
	grep -h '"event":"ownership_gained"' "$WORK"/node-*.log | sort -t'"' -k1 |
	    awk 'match($0, /"at_ms":[0-9]+/) { print substr($0, RSTART + 8, RLENGTH - 8), $0 }' |
	    sort -n | tail -1 | grep -o '"node":"front-[0-9]*"' | grep -o '[0-9]*'
}
