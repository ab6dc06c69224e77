#!/bin/sh
# Checks the commands and error messages that the documentation names against a
# cell of real processes.
cd "$(dirname "$0")/.." || exit 1
. tests/cell.sh
trap cell_stop EXIT
passed=0
failed=0

expect() { # name expected-exit-code expected-text command...
	name=$1
	want=$2
	text=$3
	shift 3
	"$@" >"$CELL/out" 2>&1
	code=$?
	if [ $code -eq "$want" ] &&
	    { [ -z "$text" ] || grep -q -e "$text" "$CELL/out"; }; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "FAILED: $name: exit $code, not $want, or no '$text' in:"
		head -5 "$CELL/out"
	fi
}

http() { # method path [curl arguments]
	method=$1
	path=$2
	shift 2
	curl -s -i -X "$method" "http://127.0.0.1:$ENTRY_PORT_0$path" "$@"
}

{
	echo "# Settings"
	echo
	echo "Made by \`--document-settings\` of each program; a test compares."
	echo
	"$BUILD/gooseberry-sched" --document-settings
	"$BUILD/gooseberry-entry" --document-settings
	"$BUILD/gooseberry-node" --document-settings
} >"$CELL/settings.md"
expect "settings page" 0 "" cmp "$CELL/settings.md" docs/SETTINGS.md

# The example documents in README.md must be valid.
awk '/^```json/ {n++; f = 1; next} /^```/ {f = 0} f {print > "'"$CELL"'/doc" n ".json"}' README.md
for n in 1 2 3; do
	expect "README document $n" 0 "a valid document" \
	    "$BUILD/gooseberryctl" check "$CELL/doc$n.json"
done

cell_store
cell_workers 24 1
cell_instances 3
cell_ready || exit 1

# The command-line client with the token of a team, and with that of operators.
TEAM_CTL="$BUILD/gooseberryctl --server http://127.0.0.1:$ENTRY_PORT_0 --token byggepas-token --team byggepas"
OPERATOR_CTL="$BUILD/gooseberryctl --server http://127.0.0.1:$ENTRY_PORT_0 --token operator-token"

# shellcheck disable=SC2086
{
	expect "check sched" 0 "a valid sched" $TEAM_CTL check "$CELL/sched0.json"
	expect "check entry" 0 "a valid entry" $TEAM_CTL check "$CELL/entry0.json"
	sed 's/"store"/"stroe"/' "$CELL/sched0.json" >"$CELL/bad.json"
	expect "check error" 6 "bad.json:3:.*stroe: is not a setting" \
	    $TEAM_CTL check --as sched "$CELL/bad.json"
	expect "daemon refuses it too" 1 "stroe: is not a setting" \
	    "$BUILD/gooseberry-sched" "$CELL/bad.json"
	expect "print settings" 0 "lease_ms = 20000 (ms, from the default)" \
	    "$BUILD/gooseberry-sched" --print-settings "$CELL/sched0.json"
	expect "tokens are hidden" 0 "tokens = hidden" \
	    "$BUILD/gooseberry-entry" --print-settings "$CELL/entry0.json"
	expect "help" 0 "Exit codes" $TEAM_CTL --help
	expect "usage" 2 "no such command" $TEAM_CTL fly
	expect "usage argument" 2 "needs an argument" $TEAM_CTL get
	expect "documents" 0 "passport-lookup" $TEAM_CTL documents
	expect "get" 0 '"kind": "batch"' $TEAM_CTL get import
	sed 's/2000/3000/' tests/demo/import.json >"$CELL/import2.json"
	expect "diff" 0 "^+.*3000" $TEAM_CTL diff "$CELL/import2.json"
	expect "apply" 0 '"version": 2.*"in_force": true' \
	    $TEAM_CTL apply "$CELL/import2.json"
	expect "history" 0 "^2 .*byggepas" $TEAM_CTL history import
	expect "rollback" 0 '"version": 3' $TEAM_CTL rollback import 1
	expect "get old" 0 "3000" $TEAM_CTL get import 2
	expect "submit" 0 "night1" \
	    $TEAM_CTL submit night1 --service import --tasks 4
	expect "submit again" 0 "night1" \
	    $TEAM_CTL submit night1 --service import --tasks 4
	expect "same name, other job" 4 "another job has this name" \
	    $TEAM_CTL submit night1 --service import --tasks 5
	expect "never runnable" 1 "no worker of the cell could ever hold" \
	    sh -c "sed 's/2000/900000/; s/\"import\"/\"giant\"/' tests/demo/import.json >$CELL/giant.json && $TEAM_CTL apply $CELL/giant.json && $TEAM_CTL submit g1 --service giant"
	expect "no such service" 1 "has no document for nothing" \
	    $TEAM_CTL submit n2 --service nothing
	expect "job" 0 "night1" $TEAM_CTL job night1
	expect "jobs" 0 "night1" $TEAM_CTL jobs
	expect "jobs as JSON" 0 '"jobs": \[' $TEAM_CTL jobs --json
	expect "explain" 0 "night1: " $TEAM_CTL explain night1
	expect "cancel" 0 "night1" $TEAM_CTL cancel night1
	expect "cancel nothing" 1 "no such job" $TEAM_CTL cancel nothing
	expect "workers" 0 "fenced" $OPERATOR_CTL workers
	expect "drain" 0 "in_force" $OPERATOR_CTL drain w3
	expect "drained" 0 "^w3 .* yes" $OPERATOR_CTL workers
	expect "undrain" 0 "in_force" $OPERATOR_CTL undrain w3
	expect "instances" 0 "^i2 .* yes" $OPERATOR_CTL instances
	expect "shards" 0 "^2 " $OPERATOR_CTL shards
	expect "status" 0 "EPOCH" $OPERATOR_CTL status
	expect "metrics" 0 "gooseberry_view_fresh 1" $OPERATOR_CTL metrics
	expect "team may not see workers" 1 "not an operator's" $TEAM_CTL workers
	expect "other team's documents" 1 "does not open this team" \
	    "$BUILD/gooseberryctl" --server "http://127.0.0.1:$ENTRY_PORT_0" \
	    --token byggepas-token --team acdi documents
	expect "no entry" 5 "127.0.0.1:1" "$BUILD/gooseberryctl" \
	    --server http://127.0.0.1:1 --token x --team t documents
}

AUTH="Authorization: Bearer byggepas-token"
REQ=/v1/teams/byggepas/services/passport-lookup/requests
trace=0af7651916cd43dd8448eb211c80319c
expect "request" 0 "^card-7" http POST $REQ -H "$AUTH" -d card-7 \
    -H "traceparent: 00-$trace-b7ad6b7169203331-01"
expect "verdict" 0 "gooseberry-verdict: ran" http POST $REQ -H "$AUTH" -d card-8
cat "$CELL"/entry*.log "$CELL"/sched*.log | grep '"trace"' >"$CELL/spans"
expect "trace" 0 "worker" "$BUILD/gooseberryctl" trace $trace \
    --trace-file "$CELL/spans"
expect "no token" 0 "401 Unauthorized" http POST $REQ -d x
expect "unknown service" 0 "no such service takes requests" http POST \
    /v1/teams/byggepas/services/none/requests -H "$AUTH" -d x
expect "unknown path" 0 "404 Not Found" http GET /v2/nothing -H "$AUTH"
expect "bad name" 0 "names are 1 to 63" http GET \
    "/v1/teams/by%20ggepas/documents" -H "$AUTH"
expect "bad key" 0 "Idempotency-Key: must be" http POST $REQ -H "$AUTH" \
    -H "Idempotency-Key: a b" -d x
expect "malformed document" 0 "1:1: .*expected" http PUT \
    /v1/teams/byggepas/documents/x -H "$AUTH" -H "If-None-Match: *" -d '{'
expect "document without a version" 0 "428 Precondition" http PUT \
    /v1/teams/byggepas/documents/x -H "$AUTH" -d '{}'
expect "stale version" 0 "412 Precondition.*" http PUT \
    /v1/teams/byggepas/documents/import -H "$AUTH" -H 'If-Match: "1"' \
    --data-binary @tests/demo/import.json
expect "who was first" 0 "expected version 1, version 3 is in force, by byggepas" \
    http PUT /v1/teams/byggepas/documents/import -H "$AUTH" \
    -H 'If-Match: "1"' --data-binary @tests/demo/import.json
head -c 2000000 /dev/zero >"$CELL/big"
expect "oversized body" 0 "413" http POST $REQ -H "$AUTH" \
    -H "Expect:" --data-binary "@$CELL/big"
expect "past deadline" 0 "504\|ran" http POST $REQ -H "$AUTH" \
    -H "Deadline-Ms: 1" -d x
printf 'NONSENSE\r\n\r\n' >"$CELL/junk"
expect "malformed HTTP" 0 "" sh -c "curl -s --max-time 2 telnet://127.0.0.1:$ENTRY_PORT_0 <$CELL/junk; true"
expect "malformed RPC" 0 "" sh -c "curl -s --max-time 2 telnet://127.0.0.1:$SCHED_PORT_0 <$CELL/junk; true"
expect "still serving" 0 "^card-9" http POST $REQ -H "$AUTH" -d card-9
expect "health" 0 "^ok" http GET /healthz
expect "entry metrics" 0 "gooseberry_entry_requests_total" http GET /metrics

kill -HUP "$SCHED_PID_0"
sleep 0.3
expect "reload" 0 "Reloaded the settings" cat "$CELL/sched0.log"
echo '{' >"$CELL/sched0.json"
kill -HUP "$SCHED_PID_0"
sleep 0.3
expect "reload is all or nothing" 0 "sched0.json:" cat "$CELL/sched0.log"

echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
