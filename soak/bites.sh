#!/bin/sh
# Shows that the soak bites: breaks the code in one way after the other, in a
# copy, and plays seeds until one of them finds it.
#   soak/bites.sh [SEEDS [PATTERN]]  # only breakages whose names match
cd "$(dirname "$0")/.." || exit 1
SEEDS=${1:-12}
PATTERN=${2:-.}
PARALLEL=${PARALLEL:-4}
COPY=$(mktemp -d)
trap 'rm -rf "$COPY"' EXIT
P=libgooseberry/pool
UNUSED="-Wno-unused-variable -Wno-unused-but-set-variable -Wno-unused-parameter -Wno-unused-function"

breakage() { # name, file, sed expression, options of the soak
	echo "$1" | grep -q "$PATTERN" || return
	rm -rf "$COPY/src"
	git clone -q . "$COPY/src" || exit 1
	sed -i "$3" "$COPY/src/$2"
	if git -C "$COPY/src" diff --quiet; then
		echo "bites: $1: the code to be broken was not found"
		return
	fi
	# What a breakage leaves unused must not stop the build.
	if ! { cmake -S "$COPY/src" -B "$COPY/build" -G Ninja -DCMAKE_C_FLAGS="$UNUSED" &&
	    ninja -C "$COPY/build" gooseberry-node-shifted \
		gooseberry-emulator gooseberry-soak; } >"$COPY/log" 2>&1; then
		echo "bites: $1: does not build"
		return
	fi
	seed=1
	while [ "$seed" -le "$SEEDS" ]; do
		# shellcheck disable=SC2086
		BUILD=$COPY/build PARALLEL=$PARALLEL soak/run.sh "$seed" \
		    $((seed + 3)) --seconds 15 $4 >"$COPY/out" 2>&1
		if grep -q BROKEN "$COPY/out"; then
			echo "bites: $1: found, seeds $seed to $((seed + 3)):" \
			    "$(grep -m 1 BROKEN "$COPY/out" | sed 's/.*BROKEN: //')"
			return
		fi
		seed=$((seed + 4))
	done
	echo "bites: $1: NOT found in $SEEDS seeds"
}

breakage "ends are acknowledged before they are stored" $P/report.c \
    's/(flow != NULL \&\& flow->stored < end->change)/false/'
breakage "a takeover waits for nobody" $P/owner.c \
    's/partition->reconciled = partition->row_epoch == 0/partition->reconciled = true/'
breakage "steps do not wait for those before them" $P/flow.c \
    's/return step->done == step->spec->count \&\&/return true ||/'
breakage "room that is used counts as free" $P/fit.c \
    's/gb_res_sub(&avail, &worker->used);//'
breakage "a part that is not attached answers" $P/pool.c \
    's/if (pool_partition_attached(pool, partition))/if (true)/'
breakage "a cancelled flow is not stopped" $P/flow.c \
    's/if (status != GB_FLOW_SUCCEEDED)$/if (status == GB_FLOW_FAILED)/' \
    --planned
breakage "attempts are not limited" $P/flow.c \
    's/return attempts == 0 ? 1 : attempts;/return 99 + attempts;/'
breakage "an older configuration is taken" libgooseberry/node/node.c \
    's/config->version <= node->config->version/config->version == node->config->version/' \
    --planned
breakage "done is shown before all is done" $P/flow.c \
    's/return flow->begun ? GB_FLOW_RUNNING/return flow->begun ? GB_FLOW_SUCCEEDED/'
breakage "runs are numbered anew by each owner" $P/dispatch.c \
    's/(pool->epoch - 1) \* POOL_RUNS_PER_EPOCH/0/'
breakage "crashes under a task are not limited" $P/crash.c \
    's/if (suspect->sole_suspect \&\&/if (false \&\&/; s/return suspect->crashes >= (confirmed.*/return confirmed \&\& false;/'
breakage "whoever stands on a worker that crashes is failed" $P/crash.c \
    's/return suspect->crashes >= (confirmed.*/return confirmed || suspect->crashes > 0;/'
breakage "room that has shrunk is not looked at" $P/listing.c \
    '/"worker_draining"/,/listed = true/s/worker->entry = \*entry;/entry->capacity = worker->entry.capacity; &/'
breakage "keys are not looked at" libgooseberry/node/caller.c \
    's/return out->org == NULL ? GB_CALLER_UNKNOWN : GB_CALLER_KNOWN;/return GB_CALLER_KNOWN;/'
breakage "quotas are not looked at" $P/dispatch.c \
    's/allowed = pool_quota_fits(pool, flow->org, \&step->spec->res, wanted);/allowed = wanted;/'
breakage "silent connections between members are kept" libgooseberry/connection/rpc_client.c \
    's/return conn->last_heard < call->written;/return false;/' \
    "--storm --only peers_silence --nodes 8 --workers 24 --seconds 60"
breakage "an owner at work is taken for one that is gone" libgooseberry/node/renewal.c \
    's/r->read_at != 0 && serial == r->serial/r->read_at != 0/' \
    "--only owner_cut,member_cut"
breakage "a worker's next life is not noticed" $P/incarnation.c \
    's/return report->incarnation != worker->incarnation ||/return false \&\&/' \
    "--only worker_restart,rack_restart,worker_clock"
breakage "members do not tell each other of the owner" libgooseberry/node/watch.c \
    's/	if (epoch > w->epoch || unknown)/	if (false \&\& unknown)/' \
    "--only store_rejects --seconds 30 --nodes 5"
breakage "configurations come from the store alone" libgooseberry/node/config_fetch.c \
    's/	if (!fetch_is_due(node))/	if (true || !fetch_is_due(node))/' \
    "--only store_rejects --seconds 30 --nodes 5"
