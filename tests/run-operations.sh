#!/bin/sh
# Checks that docs/OPERATIONS.md names every event of the code, and that `trace`
# finds in real log lines why a flow ended.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT
failed=0

fail() {
	failed=$((failed + 1))
	echo "FAILED: $*"
}

for event in $(git ls-files 'libgooseberry/pool/*.c' 'libgooseberry/node/*.c' \
    'platform/*.c' | xargs cat | tr -d '\n\t' |
    grep -oE 'GB_EVENT_(ALWAYS|NORMAL), *"[a-z_]+"' | grep -oE '"[a-z_]+"' |
    tr -d '"' | sort -u); do
	grep -q "\`$event\`" docs/OPERATIONS.md ||
	    fail "event $event is not in docs/OPERATIONS.md"
done

# A flow that fails by an error of its own, from the log of the pool core tests.
GB_POOL_LOG=1 "$BUILD/test-pool" >/dev/null 2>"$OUT/log"
awk '/"status":"failed"/ {print; exit}' "$OUT/log" >"$OUT/failed"
[ -s "$OUT/failed" ] || fail "no flow failed in the tests"
"$BUILD/gooseberryctl" trace 0000000000000001 "$OUT/log" >"$OUT/trace" ||
    fail "trace of a flow"
grep -q '^cause: flow_over: ' "$OUT/trace" || fail "no cause in the trace"
grep -q 'run_start' "$OUT/trace" || fail "no run in the trace"
"$BUILD/gooseberryctl" trace 0000000000000001 <"$OUT/log" >"$OUT/trace2"
cmp -s "$OUT/trace" "$OUT/trace2" || fail "trace of standard input differs"
"$BUILD/gooseberryctl" trace ffffffffffffffff "$OUT/log" >/dev/null 2>&1 &&
    fail "a flow that no line names was found"

echo "operations: $failed failed"
[ $failed -eq 0 ]
