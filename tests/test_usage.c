/**
 * @file test_usage.c
 * Guards against organisations that earn less because another one uses far more
 * than its part of the pool.  This comes about when the order of flows counts
 * submissions only, in which a lookup is equal to a gang, when a new owner does
 * not know what was used, or when a changed configuration leaves an
 * organisation with its old part.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool/usage.h"
#include "pool_cell.h"

/** Organisations: the first one is sometimes far above its usual load. */
#define ORGS 6
/** Usual load: 50 processors of each organisation, 300 of the 384 of the pool,
 * and 2.8 submissions a second. */
#define WORKERS 24
/** Weight in submissions a second that the usual load stays below, and one that
 * the highest load stays below as well. */
#define WEIGHT_BINDING 4
#define WEIGHT_AMPLE 40
/** Load of the first organisation in tenths of its usual one. */
#define LOAD_USUAL 10
#define LOAD_HIGH 75
#define LOAD_NONE 0
/** Interval of submissions, and their number before, during and after the high
 * load. */
#define INTERVAL (50 * GB_MSEC)
#define STEPS_BEFORE 100
#define STEPS_HIGH 200
#define STEPS_AFTER 100
#define STEPS (STEPS_BEFORE + STEPS_HIGH + STEPS_AFTER)
/** Number of the interval in which the owner or the configuration changes. */
#define EVENT_STEP (STEPS_BEFORE + STEPS_HIGH / 2)
/** Seeds of which the earnings are added; GB_USAGE_SEEDS may set more.  With
 * fewer, one late import is more than COST_MAX. */
#define SEEDS 3
/** Share of their usual earnings that the others keep at least. */
#define KEEP_MIN 0.95
/** What the others gain at least by the order by use, as a share of their usual
 * earnings, where nothing else limits the first organisation; and what they may
 * lose by it where they are in time without it: one import in 500. */
#define GAIN_MIN 0.02
#define COST_MAX 0.005
/** Quota of the first organisation: a third of the pool. */
#define QUOTA_MILLI 128000
#define USAGE_OFF (UINT32_C(1) << GB_FEATURE_USAGE_ORDER)
/** Late flows earn a fifth until this many times their objective. */
#define LATE_FACTOR 3
#define LATE_VALUE 0.2

struct kind {
	const char *queue;
	const char *spec;
	uint32_t tasks;
	int cpu;
	gb_time work;
	uint32_t flags;
	gb_time objective;
	/** Submissions of an organisation in 10,000 intervals. */
	unsigned int rate;
};

static const struct kind kinds[] = {
    {"rebuild", "ms=3000", 8, 4000, 3 * GB_SEC, GB_STEP_GANG, 7600 * GB_MSEC,
	100},
    {"import", "ms=2000", 8, 2000, 2 * GB_SEC, GB_STEP_CHECKPOINT, 11 * GB_SEC,
	300},
    {"lookup", "ms=1000", 3, 2000, GB_SEC, 0, 1750 * GB_MSEC, 1000},
};
#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

/** Conditions of a run of the pool. */
struct scenario {
	uint32_t weight;
	bool takeover; /**< the owner is replaced during the high load */
	bool remove;   /**< the first organisation is removed from the
			  configuration then, and sends nothing more */
	int64_t quota; /**< of the first organisation, thousandths, 0: none */
};

/** What was earned, in processor-seconds. */
struct earnings {
	double first;  /**< by the first organisation */
	double others; /**< by all others */
};

static uint64_t
seed_count(void)
{
	const char *text = getenv("GB_USAGE_SEEDS");
	uint64_t count = text == NULL ? 0 : strtoull(text, NULL, 10);

	return count > SEEDS ? count : SEEDS;
}

static struct pool_cell *
cell_new(const struct scenario *scenario, uint64_t seed, uint32_t disabled)
{
	const struct pool_cell_setup setup = {
	    seed, WORKERS, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, disabled};
	struct pool_cell *cell = pool_cell_begin(&setup);
	char name[GB_NAME_MAX + 1];
	size_t i;

	cell->priorities = true;
	for (i = 0; i < ORGS; i++) {
		snprintf(name, sizeof(name), "org%zu", i);
		pool_cell_quota(cell, name, i == 0 ? scenario->quota : 0, 0);
		cell->orgs[i].weight = scenario->weight;
	}
	pool_cell_configure(cell);
	return cell;
}

static void
kind_submit(struct pool_cell *cell, const struct kind *kind)
{
	pool_cell_step_add(
	    cell, kind->tasks, kind->cpu, kind->work, kind->flags, -1);
	pool_cell_submit(cell, kind->queue, kind->spec);
}

/** Submits the flows of one interval of an organisation.  The random numbers
 * are its own, so that those of others don't change with its load. */
static void
org_submit(
    struct pool_cell *cell, size_t org, uint64_t *random, unsigned int load)
{
	size_t i;

	snprintf(cell->org, sizeof(cell->org), "org%zu", org);
	for (i = 0; i < KINDS; i++) {
		if (gb_random_next(random) % 100000 < kinds[i].rate * load)
			kind_submit(cell, &kinds[i]);
	}
}

static const struct kind *
flow_kind(const struct pool_cell_flow *flow)
{
	const struct kind *kind = kinds;

	while (strcmp(kind->queue, flow->spec.queue) != 0)
		kind++;
	return kind;
}

/** Whether a flow has succeeded within a multiple of its objective. */
static bool
flow_is_within(const struct pool_cell_flow *flow, int factor)
{
	return flow->finished_at != 0 && flow->status == GB_FLOW_SUCCEEDED &&
	       flow->finished_at - flow->submitted <=
		   factor * flow_kind(flow)->objective;
}

static bool
flow_is_in_time(const struct pool_cell_flow *flow)
{
	return flow_is_within(flow, 1);
}

/** Earnings of a flow in processor-seconds. */
static double
flow_earns(const struct pool_cell_flow *flow)
{
	const struct kind *kind = flow_kind(flow);
	double work = (double)kind->tasks * kind->cpu / 1000 *
		      (double)kind->work / GB_SEC;

	if (!flow_is_within(flow, LATE_FACTOR))
		return 0;
	return flow_is_in_time(flow) ? work : LATE_VALUE * work;
}

static void
earnings_add(const struct pool_cell *cell, struct earnings *sum)
{
	size_t i;

	for (i = 0; i < cell->flow_count; i++) {
		const struct pool_cell_flow *flow = &cell->flows[i];

		if (strcmp(flow->spec.org, "org0") == 0)
			sum->first += flow_earns(flow);
		else
			sum->others += flow_earns(flow);
	}
}

/** Removes the first organisation from the configuration. */
static void
first_remove(struct pool_cell *cell)
{
	cell->orgs[0] = cell->orgs[--cell->org_count];
	pool_cell_configure(cell);
}

/** Does what a scenario has in the middle of the high load. */
static void
scenario_event(struct pool_cell *cell, const struct scenario *scenario)
{
	if (scenario->takeover)
		pool_cell_replace_owner(cell, 1);
	if (scenario->remove)
		first_remove(cell);
}

/** Load of the first organisation, in tenths of its usual one. */
static unsigned int
first_load(const struct scenario *scenario, int n, unsigned int high)
{
	if (scenario->remove && n > EVENT_STEP)
		return LOAD_NONE;
	return n >= STEPS_BEFORE && n < STEPS_BEFORE + STEPS_HIGH ? high
								  : LOAD_USUAL;
}

/** Runs the pool with one seed; the first organisation has the given load in
 * the middle of the time and its usual one before and after. */
static void
seed_run(const struct scenario *scenario, uint64_t seed, unsigned int load,
    uint32_t disabled, struct earnings *sum)
{
	struct pool_cell *cell = cell_new(scenario, seed, disabled);
	uint64_t random[ORGS];
	size_t org;
	int n;

	for (org = 0; org < ORGS; org++)
		random[org] = seed * ORGS + org + 1;
	for (n = 0; n < STEPS; n++) {
		org_submit(cell, 0, &random[0], first_load(scenario, n, load));
		for (org = 1; org < ORGS; org++)
			org_submit(cell, org, &random[org], LOAD_USUAL);
		pool_cell_run(cell, INTERVAL);
		if (n == EVENT_STEP)
			scenario_event(cell, scenario);
	}
	pool_cell_run(cell, 40 * GB_SEC);
	earnings_add(cell, sum);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

static struct earnings
scenario_run(
    const struct scenario *scenario, unsigned int load, uint32_t disabled)
{
	struct earnings sum = {0};
	uint64_t seed;

	for (seed = 1; seed <= seed_count(); seed++)
		seed_run(scenario, seed, load, disabled, &sum);
	return sum;
}

/** Runs a scenario at usual and at high load; returns the share of their usual
 * earnings that the others keep. */
static double
others_keep(
    const char *what, const struct scenario *scenario, uint32_t disabled)
{
	struct earnings usual = scenario_run(scenario, LOAD_USUAL, disabled);
	struct earnings high = scenario_run(scenario, LOAD_HIGH, disabled);

	print_message("%s, usage %s: others %.0f of %.0f (%.1f%%), first "
		      "%.0f, all %.0f\n",
	    what, disabled == 0 ? "on" : "off", high.others, usual.others,
	    100 * high.others / usual.others, high.first,
	    high.first + high.others);
	return high.others / usual.others;
}

/** Asserts that the others lose no more than they may, and that the order by
 * use gains at least `gain` for them. */
static void
assert_others_keep(
    const char *what, const struct scenario *scenario, double gain)
{
	double with = others_keep(what, scenario, 0);
	double without = others_keep(what, scenario, USAGE_OFF);

	assert_true(with >= KEEP_MIN);
	assert_true(with - without >= gain);
}

/** Within the weights, which count submissions, an organisation can use most of
 * the pool. */
static void
test_high_load_within_weight(void **state)
{
	const struct scenario scenario = {WEIGHT_AMPLE, false, false, 0};

	(void)state;
	assert_others_keep("within the weight", &scenario, GAIN_MIN);
}

/** Most of the high load is beyond the weight. */
static void
test_high_load_beyond_weight(void **state)
{
	const struct scenario scenario = {WEIGHT_BINDING, false, false, 0};

	(void)state;
	assert_others_keep("beyond the weight", &scenario, 0);
}

/** The new owner knows the use from the runs that it adopts. */
static void
test_takeover(void **state)
{
	const struct scenario scenario = {WEIGHT_AMPLE, true, false, 0};

	(void)state;
	assert_others_keep("takeover", &scenario, GAIN_MIN);
}

/** The flows of an organisation that is no longer configured keep its
 * weight. */
static void
test_removed_organisation(void **state)
{
	const struct scenario scenario = {WEIGHT_AMPLE, false, true, 0};

	(void)state;
	assert_others_keep("removed", &scenario, -COST_MAX);
}

/** The quota limits what an organisation has running, the order by use what it
 * has before others. */
static void
test_quota_and_usage(void **state)
{
	const struct scenario scenario = {
	    WEIGHT_AMPLE, false, false, QUOTA_MILLI};

	(void)state;
	assert_others_keep("quota", &scenario, -COST_MAX);
}

/** Recent use of an organisation relative to its weight's part, in percent. */
static uint32_t
weight_share(struct pool_cell *cell, const char *org)
{
	struct gb_pool_org_stat stats[CELL_ORGS];
	size_t count = gb_pool_org_stats(cell->nodes[0], stats, CELL_ORGS);
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(stats[i].name, org) == 0)
			return stats[i].weight_share;
	}
	fail_msg("no organisation %s", org);
	return 0;
}

/** Submits imports of an organisation. */
static void
submit_imports(struct pool_cell *cell, size_t org, unsigned int count)
{
	snprintf(cell->org, sizeof(cell->org), "org%zu", org);
	while (count-- > 0)
		kind_submit(cell, &kinds[1]);
}

/** The part of an organisation follows its weight in the newest configuration;
 * without a weight it has none, and one that was removed keeps its weight. */
static void
test_weight_is_changed(void **state)
{
	const struct scenario scenario = {WEIGHT_AMPLE, false, false, 0};
	struct pool_cell *cell = cell_new(&scenario, 1, 0);

	(void)state;
	submit_imports(cell, 0, 9);
	submit_imports(cell, 1, 3);
	pool_cell_run(cell, GB_SEC);
	assert_in_range(weight_share(cell, "org0"), 140, 160);
	assert_in_range(weight_share(cell, "org1"), 40, 60);
	cell->orgs[0].weight = 9 * WEIGHT_AMPLE;
	pool_cell_configure(cell);
	pool_cell_run(cell, 100 * GB_MSEC);
	assert_in_range(weight_share(cell, "org0"), 75, 90);
	assert_in_range(weight_share(cell, "org1"), 230, 270);
	first_remove(cell);
	pool_cell_run(cell, 100 * GB_MSEC);
	assert_in_range(weight_share(cell, "org0"), 75, 90);
	cell->orgs[1].weight = 0;
	pool_cell_configure(cell);
	pool_cell_run(cell, 100 * GB_MSEC);
	assert_int_equal(weight_share(cell, "org1"), 0);
	pool_cell_free(cell);
}

/** Number of flows of an organisation that were beyond its share. */
static uint64_t
over_share_count(struct pool_cell *cell, const char *org)
{
	struct gb_pool_org_stat stats[CELL_ORGS];
	size_t count = gb_pool_org_stats(cell->nodes[0], stats, CELL_ORGS);
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(stats[i].name, org) == 0)
			return stats[i].over_share;
	}
	return 0;
}

/** An organisation that was quiet may send what it saved in 3 s, one that has
 * used more than its part only what it saved in 1 s. */
static void
test_burst_credit(void **state)
{
	const struct scenario scenario = {WEIGHT_BINDING, false, false, 0};
	struct pool_cell *cell = cell_new(&scenario, 1, 0);

	(void)state;
	submit_imports(cell, 0, WEIGHT_BINDING);
	submit_imports(cell, 1, 1);
	pool_cell_run(cell, 3 * GB_SEC);
	submit_imports(cell, 0, 3 * WEIGHT_BINDING);
	submit_imports(cell, 2, 3 * WEIGHT_BINDING + 1);
	pool_cell_run(cell, 100 * GB_MSEC);
	assert_int_equal(over_share_count(cell, "org0"), 2 * WEIGHT_BINDING);
	assert_int_equal(over_share_count(cell, "org2"), 1);
	pool_cell_free(cell);
}

/** An organisation has used the whole pool, and one of its gangs needs to start
 * while imports wait that have time to spare: all are in time. */
static void
test_no_flow_is_late_for_one_that_can_wait(void **state)
{
	const struct scenario scenario = {WEIGHT_AMPLE, false, false, 0};
	struct pool_cell *cell = cell_new(&scenario, 1, 0);
	size_t i;

	(void)state;
	submit_imports(cell, 0, 24);
	pool_cell_run(cell, 200 * GB_MSEC);
	submit_imports(cell, 1, 70);
	snprintf(cell->org, sizeof(cell->org), "org0");
	kind_submit(cell, &kinds[0]);
	pool_cell_run(cell, 30 * GB_SEC);
	for (i = 0; i < cell->flow_count; i++)
		assert_true(flow_is_in_time(&cell->flows[i]));
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Use decays, is corrected by the real run time, and does not become
 * negative. */
static void
test_use_decays(void **state)
{
	struct usage usage = {0};

	(void)state;
	usage_add(&usage, 0, 0, 1000);
	assert_in_range((int)usage_value(&usage, 5 * GB_SEC), 367, 368);
	usage_add(&usage, 5 * GB_SEC, 0, -500);
	assert_in_range((int)usage_value(&usage, 5 * GB_SEC), 183, 184);
	usage_add(&usage, 5 * GB_SEC, 5 * GB_SEC, -500);
	assert_int_equal((int)usage_value(&usage, 5 * GB_SEC), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_use_decays),
	    cmocka_unit_test(test_weight_is_changed),
	    cmocka_unit_test(test_burst_credit),
	    cmocka_unit_test(test_no_flow_is_late_for_one_that_can_wait),
	    cmocka_unit_test(test_high_load_within_weight),
	    cmocka_unit_test(test_high_load_beyond_weight),
	    cmocka_unit_test(test_takeover),
	    cmocka_unit_test(test_removed_organisation),
	    cmocka_unit_test(test_quota_and_usage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
