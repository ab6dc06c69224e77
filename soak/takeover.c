/**
 * @file takeover.c
 * Reads the claims of the pool from the nodes' logs, and checks that each
 * takeover had a cause, and that lasting faults did not cause too many.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/** Longest time from a cause to the takeover: members that receive nothing wait
 * 3.5 s, and a claim takes a second when the store is slow. */
#define TAKEOVER_DELAY_MAX (5 * GB_SEC)
/** Time without any fault after which nobody may take over. */
#define CALM_MIN TAKEOVER_DELAY_MAX
/** Takeovers that cuts, pauses and starvation may cause: a base number, since
 * faults may start at the same time, and one more per interval, however often
 * the owner becomes unreachable. */
#define LASTING_BASE 4
#define LASTING_INTERVAL (7 * GB_SEC)
#define EPOCHS_MAX 1000
#define LINE_MAX_BYTES 4096
/** A cause that is recorded again within this time is taken to have lasted
 * meanwhile. */
#define CAUSE_GAP_MAX (100 * GB_MSEC)

/** A period in which there was a cause for takeovers. */
struct cause_period {
	enum soak_cause cause;
	gb_time from;
	gb_time until;
};

struct cause_periods {
	struct cause_period *list;
	size_t count;
};

/** A successful claim of the pool. */
struct claim {
	bool known;
	unsigned int node;
	gb_time at;
};

/** Causes to take over from each node. */
static struct cause_periods node_causes[SOAK_NODES_MAX];
/** Periods in which any fault was active. */
static struct cause_periods faults;
/** Claims by their epochs. */
static struct claim claims[EPOCHS_MAX];
static unsigned int newest; /**< highest epoch claimed */
static FILE *logs[SOAK_NODES_MAX];

/* Causes ------------------------------------------------------------------ */

/** Extend the last period of the same cause to now, or add a new one. */
static void
cause_record(struct cause_periods *of, enum soak_cause cause)
{
	gb_time now = soak_now();
	size_t i;

	for (i = of->count; i > 0 && i + CAUSE_COUNT > of->count; i--) {
		struct cause_period *last = &of->list[i - 1];

		if (last->cause == cause && now - last->until < CAUSE_GAP_MAX) {
			last->until = now;
			return;
		}
	}
	of->list = gb_realloc(of->list, (of->count + 1) * sizeof(*of->list));
	of->list[of->count].cause = cause;
	of->list[of->count].from = now;
	of->list[of->count++].until = now;
}

void
takeover_cause_add(unsigned int node, enum soak_cause cause)
{
	cause_record(&node_causes[node], cause);
}

void
takeover_fault_add(void)
{
	cause_record(&faults, CAUSE_LASTING);
}

/** Find the most severe cause that lasted until at most `within` before a time.
 */
static enum soak_cause
worst_before(const struct cause_periods *of, gb_time at, gb_time within)
{
	enum soak_cause worst = CAUSE_NONE;
	size_t i;

	for (i = 0; i < of->count; i++) {
		const struct cause_period *one = &of->list[i];

		if (one->from <= at && one->until >= at - within &&
		    one->cause > worst)
			worst = one->cause;
	}
	return worst;
}

/* Claims ------------------------------------------------------------------ */

static int64_t
line_number(const char *line, const char *key)
{
	const char *at = strstr(line, key);

	return at == NULL ? -1 : strtoll(at + strlen(key), NULL, 10);
}

static void
line_parse(unsigned int node, const char *line)
{
	int64_t epoch = line_number(line, "\"epoch\":");
	int64_t t_ms = line_number(line, "\"t_ms\":");

	if (strstr(line, "\"ownership_claimed\"") == NULL || t_ms < 0)
		return;
	if (epoch < 1 || epoch >= EPOCHS_MAX) {
		soak_violation("n%u claims epoch %lld", node, (long long)epoch);
		return;
	}
	claims[epoch].known = true;
	claims[epoch].node = node;
	claims[epoch].at = t_ms * GB_MSEC - soak.began;
	if (epoch > newest)
		newest = (unsigned int)epoch;
}

/** Read new whole lines of a node's log.  An unfinished line is left for the
 * next call. */
static void
log_read(unsigned int node)
{
	char line[LINE_MAX_BYTES];
	char path[512];
	long at;

	if (logs[node] == NULL) {
		snprintf(path, sizeof(path), "%s/n%u.log", soak.dir, node);
		logs[node] = fopen(path, "r");
	}
	if (logs[node] == NULL)
		return;
	clearerr(logs[node]);
	at = ftell(logs[node]);
	while (fgets(line, sizeof(line), logs[node]) != NULL) {
		size_t len = strlen(line);

		if (line[len - 1] != '\n' && len + 1 < sizeof(line))
			break;
		line_parse(node, line);
		at = ftell(logs[node]);
	}
	fseek(logs[node], at, SEEK_SET);
}

unsigned int
takeover_owner(void)
{
	return claims[newest].node;
}

void
takeover_tick(void)
{
	unsigned int i;

	for (i = 0; i < soak.node_count; i++) {
		log_read(i);
		if (reach_is_isolated(i))
			takeover_cause_add(i, CAUSE_LASTING);
	}
}

/* Checks ------------------------------------------------------------------ */

/** Find the cause of a claim among those of the owner before it. */
static enum soak_cause
claim_cause(const struct claim *before, const struct claim *claim)
{
	return worst_before(
	    &node_causes[before->node], claim->at, TAKEOVER_DELAY_MAX);
}

/** Print a takeover, and report it if it had no cause. */
static void
claim_check(
    unsigned int epoch, const struct claim *before, enum soak_cause cause)
{
	static const char *const causes[CAUSE_COUNT] = {
	    "none", "lasting", "down"};
	const struct claim *claim = &claims[epoch];

	printf("takeover: epoch=%u n%u after n%u at %lld ms cause=%s\n", epoch,
	    claim->node, before->node, (long long)(claim->at / GB_MSEC),
	    causes[cause]);
	if (worst_before(&faults, claim->at, CALM_MIN) == CAUSE_NONE)
		soak_violation(
		    "n%u takes the pool over when all is calm, epoch "
		    "%u",
		    claim->node, epoch);
	else if (cause == CAUSE_NONE)
		soak_violation(
		    "n%u takes the pool over from n%u, which nothing "
		    "has hit, epoch %u",
		    claim->node, before->node, epoch);
}

unsigned int
takeover_check(void)
{
	const struct claim *before = NULL;
	unsigned int count[CAUSE_COUNT] = {0};
	gb_time max = LASTING_BASE + soak_now() / LASTING_INTERVAL;
	unsigned int epoch;

	takeover_tick();
	for (epoch = 1; epoch <= newest; epoch++) {
		enum soak_cause cause;

		if (!claims[epoch].known)
			continue;
		if (before != NULL) {
			cause = claim_cause(before, &claims[epoch]);
			count[cause]++;
			claim_check(epoch, before, cause);
		}
		before = &claims[epoch];
	}
	if (count[CAUSE_LASTING] > max)
		soak_violation("%u takeovers by lasting faults, %lld at most",
		    count[CAUSE_LASTING], (long long)max);
	return count[CAUSE_NONE] + count[CAUSE_LASTING] + count[CAUSE_DOWN];
}
