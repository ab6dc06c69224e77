#!/bin/sh
# Shows that the oracle bites: breaks the code on purpose in a scratch copy,
# one breakage at a time, and counts the random runs until it is found.
cd "$(dirname "$0")/.." || exit 1
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
MOST=${MOST:-2000}

bite() { # name file python-expression-old python-expression-new
	rm -rf "$SCRATCH/tree"
	mkdir "$SCRATCH/tree"
	git ls-files -z | xargs -0 cp --parents -t "$SCRATCH/tree"
	python3 - "$SCRATCH/tree/$2" "$3" "$4" <<'EOT' || { echo "| $1 | the breakage does not apply |"; return; }
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
if old not in text:
    sys.exit(1)
open(path, 'w').write(text.replace(old, new, 1))
EOT
	cmake -S "$SCRATCH/tree" -B "$SCRATCH/build" -G Ninja >/dev/null
	ninja -C "$SCRATCH/build" test-replay >"$SCRATCH/log" 2>&1 ||
	    { echo "| $1 | does not build |"; grep error: "$SCRATCH/log"; return; }
	out=$(GB_FUZZ_FROM=0 GB_FUZZ_RUNS=$MOST GB_FUZZ_FIRST=1 \
	    "$SCRATCH/build/test-replay" 2>/dev/null | grep '^run')
	run=$(echo "$out" | sed 's/run \([0-9]*\):.*/\1/')
	why=$(echo "$out" | sed 's/run [0-9]*: \(.*\) (.*/\1/')
	[ -n "$out" ] && echo "| $1 | $((run + 1)) | $why |" ||
	    echo "| $1 | not in $MOST | |"
}

echo "| breakage | random runs until found | promise |"
echo "| --- | --- | --- |"
bite "log written without the condition on the shard's row" \
    libgooseberry/process/log.c \
    '	store_txn_cond(&txn, row, shard->row_vers);' \
    '	(void)row;'
bite "a non-idempotent start is not logged first" \
    libgooseberry/process/job.c \
    'if (job->spec.idempotent) {
		task->state = TASK_STARTING;' \
    'if (true) {
		task->state = TASK_STARTING;'
bite "tasks restart without evidence on every worker" \
    libgooseberry/process/job.c \
    'if (shard->settled || !shard_settled(core, shard))' \
    'if (shard->settled || (0 && !shard_settled(core, shard)))'
bite "whatever may have run is sent again" \
    libgooseberry/request/verdict.c \
    'return verdict == GB_MAYBE_RUN && idempotent;' \
    'return verdict == GB_MAYBE_RUN || idempotent;'
bite "a view is always fresh" \
    libgooseberry/version/member.c \
    '	if (!core->ever_confirmed || !core->joined)
		return false;' \
    '	if (core->ever_confirmed || core->joined)
		return true;'
bite "an earlier owner's lease is not waited for" \
    libgooseberry/process/shard.c \
    'shard->claim.known_at + core->cfg.fresh_us + lease +' \
    'shard->claim.known_at + 0 * core->cfg.fresh_us + 0 * lease +'
bite "a change counts as in force at once" \
    libgooseberry/version/config.c \
    'bool in_force = member_write_in_force(core, &wait->spread);' \
    'bool in_force = member_write_in_force(core, &wait->spread) || true;'
bite "a keyed request is sent before its key is written" \
    libgooseberry/request/request.c \
    'if (!r->idempotent && req->key[0]' 'if (r->idempotent && req->key[0]'
bite "room of an unanswered request is given away" \
    libgooseberry/request/request.c \
    'if (res->verdict == GB_MAYBE_RUN && w->shard->serial == e->serial)' \
    'if (res->verdict == GB_MAYBE_RUN && w->shard->serial == 1 + e->serial)'
bite "an owner's own lease is forgotten" \
    libgooseberry/process/worker.c \
    'return now + core->cfg.lease_us + core->cfg.lease_us / CLOCK_DRIFT_PART +' \
    'return now + core->cfg.sync_us * 3 + 0 * CLOCK_DRIFT_PART +'
bite "leaving workers get work" \
    libgooseberry/process/worker.c \
    'w->platform == GB_INSTANCE_LIVE && !w->draining &&' \
    'w->platform != GB_INSTANCE_GONE && !w->draining &&'
bite "room that orphans take is not counted" \
    libgooseberry/process/worker.c \
    'gb_res_add(&foreign, &held->res);' \
    '(void)foreign;'
