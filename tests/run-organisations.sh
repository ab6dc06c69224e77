#!/bin/sh
# Checks at real nodes which callers are rejected, which configurations come into
# force, and that no key of an organisation appears in logs or metrics.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
PORT=${PORT:-27100}
DIR=$(mktemp -d)
PIDS=""
trap 'kill $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
passed=0
failed=0
ID=00000000000000a1
FLOW='{"Spec":"ms=100","Steps":[{"Count":1,"Cpu":1000,"MemMb":64,"EstimatedMs":100}]}'

start() { # log, command...
	log=$1
	shift
	"$@" >"$DIR/$log.log" 2>&1 &
	PIDS="$PIDS $!"
}

start_node() { # number
	cat >"$DIR/n$1.json" <<EOT
{"name": "n$1", "dc": "dc-a", "listen": "127.0.0.1:$((PORT + 10 + $1))",
 "metrics": "127.0.0.1:$((PORT + 20 + $1))", "front": "127.0.0.1:$((PORT + 30 + $1))",
 "ready": "127.0.0.1:$((PORT + 40 + $1))", "store": "127.0.0.1:$PORT",
 "advice": "127.0.0.1:$((PORT + 1))", "lease_ms": 3000, "log_lines": 2000}
EOT
	GOOSEBERRYCART_CONFIG="$DIR/n$1.json" start "n$1" \
	    "$BUILD/gooseberry-node" "$DIR/n$1.json"
}

send_config() { # text
	curl -s -o /dev/null -X POST --data "$1" \
	    "http://127.0.0.1:$((PORT + 2))/config"
}

send_version() { # number, keys of the first organisation
	send_config "{\"Version\":$1,\"Routes\":[
	    {\"Name\":\"keyed\",\"Host\":\"127.0.0.1\",\"Prefix\":\"/keyed/\",
	     \"Service\":\"pool\",\"MaxAttempts\":3,\"Stretch\":2.0,\"TargetCompletionMs\":2000},
	    {\"Name\":\"open\",\"Host\":\"127.0.0.1\",\"Prefix\":\"/open/\",\"Service\":\"pool\",
	     \"MaxAttempts\":3,\"Stretch\":2.0,\"TargetCompletionMs\":2000,\"AllowAnonymous\":true}],
	    \"Services\":[{\"Name\":\"pool\"}],\"Tenants\":[
	    {\"Name\":\"one\",\"ApiKeys\":[$2],\"Weight\":9,\"MaxCount\":{\"Cpu\":8000}},
	    {\"Name\":\"two\",\"ApiKeys\":[\"secret-of-two\"],\"Weight\":9}]}"
}

http_status() { # node, method, path, [key, [body]]
	curl -s -o "$DIR/body" -w '%{http_code}' -X "$2" ${4:+-H "Api-Key: $4"} \
	    ${5:+--data "$5"} "http://127.0.0.1:$((PORT + 30 + $1))$3"
}

expect() { # name, expected, actual
	if [ "$2" = "$3" ]; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "FAILED: $1: $3 in place of $2"
	fi
}

wait_status() { # name, expected, arguments of http_status...
	name=$1
	want=$2
	shift 2
	tries=0
	while got=$(http_status "$@"); [ "$got" != "$want" ] && [ $tries -lt 100 ]; do
		tries=$((tries + 1))
		sleep 0.1
	done
	expect "$name" "$want" "$got"
}

start emulator "$BUILD/gooseberry-emulator" --store="127.0.0.1:$PORT" \
    --advice="127.0.0.1:$((PORT + 1))" --control="127.0.0.1:$((PORT + 2))" \
    --workers=4 --worker-port=$((PORT + 50)) --listed-port=$((PORT + 50)) --seed=1
sleep 0.3
start_node 1
start_node 2
wait_status "nobody is served without a configuration" 503 1 GET /keyed/
send_version 3 '"secret-of-one"'
wait_status "a known key is served" 200 1 POST /keyed/$ID secret-of-one "$FLOW"
wait_status "at every node" 200 2 GET /keyed/$ID secret-of-one

for n in 1 2; do
	expect "unknown key, node $n" 401 "$(http_status $n GET /keyed/$ID nobody)"
	expect "no key, node $n" 401 "$(http_status $n GET /keyed/$ID)"
	expect "unknown key submits, node $n" 401 \
	    "$(http_status $n POST /keyed/00000000000000b$n nobody "$FLOW")"
	expect "unknown key cancels, node $n" 401 "$(http_status $n DELETE /keyed/$ID nobody)"
	expect "unknown key counts, node $n" 401 "$(http_status $n GET /keyed/ nobody)"
	expect "unknown key on an open queue, node $n" 401 "$(http_status $n GET /open/ nobody)"
	expect "no key on an open queue, node $n" 200 "$(http_status $n GET /open/)"
	expect "the queue goes first, node $n" 404 "$(http_status $n GET /none/ nobody)"
	expect "another one's flow, node $n" 410 "$(http_status $n GET /keyed/$ID secret-of-two)"
	expect "nor cancelled, node $n" 410 "$(http_status $n DELETE /keyed/$ID secret-of-two)"
done

send_version 5 '"second-of-one"'
for n in 1 2; do
	wait_status "a new key, node $n" 200 $n GET /keyed/$ID second-of-one
	wait_status "one that was taken away, node $n" 401 $n GET /keyed/$ID secret-of-one
done

# Neither an older version nor one that can't be decoded comes into force.
send_version 4 '"secret-of-one"'
sleep 1
send_config '{"Version":6,"Tenants":'
sleep 1
for n in 1 2; do
	expect "an older version, node $n" 401 "$(http_status $n GET /keyed/$ID secret-of-one)"
	expect "the newest holds, node $n" 200 "$(http_status $n GET /keyed/$ID second-of-one)"
done

curl -s "http://127.0.0.1:$((PORT + 21))/metrics" "http://127.0.0.1:$((PORT + 22))/metrics" \
    >"$DIR/metrics"
expect "counted by organisation" 1 \
    "$(grep -c 'gooseberry_org_flows_accepted{org="one"} 1' "$DIR/metrics")"
for n in 1 2; do
	"$BUILD/gooseberryctl" --server "http://127.0.0.1:$((PORT + 20 + n))" \
	    organisations
done >"$DIR/orgs"
expect "a table of organisations, from the owner" "one 9 8000" \
    "$(awk '$1 == "one" { print $1, $2, $4 }' "$DIR/orgs")"
expect "an instance that is not the owner says so" 1 \
    "$(grep -c 'does not own the pool' "$DIR/orgs")"
expect "the version that can't be read is counted" 2 \
    "$(grep -c '^gooseberry_configs_unreadable [1-9]' "$DIR/metrics")"
expect "keys in logs and counters" 0 \
    "$(cat "$DIR"/n1.log "$DIR"/n2.log "$DIR/metrics" | grep -c -e secret -e second-of)"
digits=$(printf nobody | sha256sum | cut -c1-8)
expect "a 401 leads to its key's digest" 5 \
    "$(grep caller_denied "$DIR/n1.log" | grep -c "$digits")"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
