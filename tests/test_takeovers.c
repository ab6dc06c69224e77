/**
 * @file test_takeovers.c
 * How often the pool changes hands: the watches of eight instances, one row of
 * an owner and the paths between them, in virtual time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "node/watch.h"
#include "pool/contention.h"

#define NODES 8
#define NOBODY NODES
#define STEP (5 * GB_MSEC)
#define READ_TAKES (4 * GB_MSEC)
#define CLAIM_TAKES (15 * GB_MSEC)
/** From the claim until the pool is served, and until the owner before learns
 * of it from a worker. */
#define LOAD_TAKES (100 * GB_MSEC)
#define LOAD_TAKES_SLOW (3 * GB_SEC)
#define RENEW_EVERY (500 * GB_MSEC)
#define CALL_TIMEOUT (600 * GB_MSEC)
#define MEMBER_KEEP (5 * GB_SEC)
#define ASKED_MOST 3
/** Changes of hands that a lasting disturbance may cause in a minute, and in
 * each minute after it. */
#define CHANGES_MOST 8
#define CHANGES_LATER 5
/** An owner that is gone is succeeded within this. */
#define SUCCEEDED_WITHIN (1500 * GB_MSEC)
/** The same where loops turn three to six times a second. */
#define SUCCEEDED_BY_SLOW (4 * GB_SEC)
#define KILLED_WITHIN (500 * GB_MSEC)
/** The same while reads take 0.4 s: silence, a read, and the turns of two. */
#define SUCCEEDED_SLOWLY (1800 * GB_MSEC)

/** A call that is out. */
struct call {
	bool out;
	unsigned int to;
	gb_time sent;
};

enum role { MEMBER, CLAIMING, LOADING, OWNER };

struct node {
	struct watch watch;
	enum role role;
	uint64_t epoch;
	uint64_t incarnation;
	uint64_t claims; /**< epoch that it is claiming */
	struct contention contention;
	enum takeover_cause cause;
	gb_time role_since;
	gb_time renewed;
	struct call hello;
	struct call asked[ASKED_MOST];
	gb_time read_at;	 /**< a read that is out is answered then, 0 */
	gb_time heard_of[NODES]; /**< when each said hello to this owner, 0 */
	bool dead;		 /**< answers nothing */
	bool refuses;		 /**< nobody listens, and its machine says so */
	gb_time paused_until;
};

static struct {
	gb_time now;
	struct node nodes[NODES];
	char addr[NODES][GB_NAME_MAX + 1];
	unsigned int row_owner;
	uint64_t row_epoch;
	uint64_t row_serial;
	struct contention_row row_contention;
	uint64_t next_incarnation;
	bool cut[NODES][NODES]; /**< what the first sends the second is lost */
	bool cuts_refuse;	/**< and connections across a cut are refused */
	gb_time way;		/**< of one message */
	gb_time load_takes;
	gb_time read_takes;
	unsigned int steps;
	unsigned int owned; /**< steps at which the pool was served */
	unsigned int changes;
	unsigned int reads;
	uint64_t seed;
} cell;

static bool
node_runs(const struct node *node)
{
	return !node->dead && node->paused_until <= cell.now;
}

static unsigned int
node_index(const struct node *node)
{
	return (unsigned int)(node - cell.nodes);
}

/** Whether a call of a node to another is answered by now. */
static bool
call_answered(const struct node *node, const struct call *call)
{
	const struct node *to = &cell.nodes[call->to];

	return node_runs(to) && !cell.cut[node_index(node)][call->to] &&
	       !cell.cut[call->to][node_index(node)] &&
	       cell.now - call->sent >= 2 * cell.way;
}

static bool
call_refused(const struct node *node, const struct call *call)
{
	bool refused =
	    cell.nodes[call->to].refuses ||
	    (cell.cuts_refuse && cell.cut[node_index(node)][call->to]);

	return refused && cell.now - call->sent >= 2 * cell.way;
}

static void
node_lose(struct node *node)
{
	node->role = MEMBER;
	watch_lost(&node->watch, cell.now, 0);
}

/* Hellos ------------------------------------------------------------------ */

static unsigned int
members_of(const struct node *owner)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < NODES; i++)
		count += owner->heard_of[i] != 0 &&
			 cell.now - owner->heard_of[i] < MEMBER_KEEP;
	return count;
}

static unsigned int
rank_of(const struct node *owner, unsigned int member)
{
	unsigned int rank = 0;
	unsigned int i;

	for (i = 0; i < member; i++)
		rank += owner->heard_of[i] != 0 &&
			cell.now - owner->heard_of[i] < CALL_TIMEOUT;
	return rank;
}

static void
hello_answer(struct node *node, struct node *to)
{
	struct watch_owner_status news = {0};

	if (to->role == LOADING) {
		watch_owner_acquiring(&node->watch, cell.now);
		return;
	}
	if (to->role != OWNER) {
		watch_denied(
		    &node->watch, cell.now, to->watch.owner, to->watch.epoch);
		return;
	}
	to->heard_of[node_index(node)] = cell.now;
	if (contention_process_alive(
		&to->contention, cell.now, node->incarnation))
		to->renewed = cell.now - RENEW_EVERY;
	news.epoch = to->epoch;
	news.largest_milli = 250;
	news.place.rank = rank_of(to, node_index(node));
	news.place.ranked = members_of(to);
	news.place.members = members_of(to) - 1;
	watch_hello_answered(&node->watch, cell.now, &news);
}

static void
hello_tick(struct node *node)
{
	struct call *call = &node->hello;

	if (!call->out)
		return;
	if (call_refused(node, call)) {
		call->out = false;
		watch_hello_failed(&node->watch, cell.now, true);
	} else if (call_answered(node, call)) {
		call->out = false;
		hello_answer(node, &cell.nodes[call->to]);
	} else if (cell.now - call->sent >= CALL_TIMEOUT) {
		call->out = false;
		watch_hello_failed(&node->watch, cell.now, false);
	}
}

static void
hello_send(struct node *node)
{
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		if (strcmp(cell.addr[i], node->watch.owner) == 0)
			break;
	}
	if (i == NODES || cell.nodes[i].incarnation == 0)
		return;
	node->watch.hello_in_flight = true;
	node->hello = (struct call){true, i, cell.now};
}

/* Questions to members ---------------------------------------------------- */

static void
ask_send(struct node *node)
{
	unsigned int from = (unsigned int)gb_random_next(&cell.seed) % NODES;
	unsigned int asked = 0;
	unsigned int i;

	if (node->watch.place.members > 0) {
		for (i = 0; i < NODES && asked < ASKED_MOST; i++) {
			unsigned int to = (from + i) % NODES;

			if (to == node_index(node) ||
			    strcmp(cell.addr[to], node->watch.owner) == 0)
				continue;
			node->asked[asked++] =
			    (struct call){true, to, cell.now};
		}
	}
	watch_poll_begun(&node->watch, cell.now, asked);
}

static void
ask_tick(struct node *node)
{
	unsigned int i;

	for (i = 0; i < ASKED_MOST; i++) {
		struct call *call = &node->asked[i];
		const struct node *to = &cell.nodes[call->to];

		if (!call->out)
			continue;
		if (call_answered(node, call)) {
			call->out = false;
			watch_polled(&node->watch,
			    to->role == OWNER || to->role == LOADING ||
				    cell.now - to->watch.last_heard <
					CALL_TIMEOUT
				? WATCH_VOTE_REACHABLE
				: WATCH_VOTE_UNREACHABLE);
		} else if (cell.now - call->sent >= CALL_TIMEOUT) {
			call->out = false;
			watch_polled(&node->watch, WATCH_VOTE_NONE);
		}
	}
}

/* The row ----------------------------------------------------------------- */

static void
row_read(struct node *node)
{
	const struct watch_row row = {
	    cell.row_owner == NOBODY ? NULL : cell.addr[cell.row_owner],
	    cell.row_epoch, cell.row_serial, cell.row_contention.count};

	node->read_at = 0;
	watch_row(&node->watch, cell.now, &row);
}

static void
claim_begin(struct node *node)
{
	uint64_t after = node->watch.epoch;

	node->cause = watch_takeover_cause(&node->watch, cell.now);
	watch_lost(&node->watch, cell.now, 0);
	if (cell.row_owner != NOBODY && cell.row_epoch > after)
		return;
	node->role = CLAIMING;
	node->claims = cell.row_epoch + 1;
	node->role_since = cell.now;
}

static void
claim_tick(struct node *node)
{
	if (cell.now - node->role_since < CLAIM_TAKES)
		return;
	if (cell.row_epoch + 1 != node->claims) {
		node_lose(node);
		return;
	}
	if (cell.row_owner != NOBODY)
		cell.changes++;
	contention_take_over(&node->contention, cell.now, &cell.row_contention,
	    node->incarnation, node->cause);
	cell.row_contention.count = node->contention.count;
	cell.row_contention.incarnation = node->incarnation;
	cell.row_owner = node_index(node);
	cell.row_epoch = node->claims;
	cell.row_serial = 1;
	node->epoch = node->claims;
	node->role = LOADING;
	node->role_since = cell.now;
	node->renewed = cell.now;
	memset(node->heard_of, 0, sizeof(node->heard_of));
}

/** An owner renews its row, and learns of a newer owner by that or from a
 * worker. */
static void
owner_tick(struct node *node)
{
	if (cell.row_epoch > node->epoch) {
		if (cell.now - cell.nodes[cell.row_owner].role_since >=
			cell.load_takes ||
		    cell.now - node->renewed >= RENEW_EVERY) {
			if (node->role == OWNER)
				contention_owner_deposed(
				    &node->contention, cell.now);
			node_lose(node);
			watch_members(&node->watch, members_of(node));
		}
		return;
	}
	if (node->role == LOADING &&
	    cell.now - node->role_since >= cell.load_takes)
		node->role = OWNER;
	cell.owned += node->role == OWNER;
	if (node->role == OWNER && cell.now - node->renewed >= RENEW_EVERY) {
		contention_tick(&node->contention, cell.now);
		node->renewed = cell.now;
		cell.row_serial++;
		cell.row_contention.count = node->contention.count;
	}
}

/* Course ------------------------------------------------------------------ */

static void
member_tick(struct node *node)
{
	hello_tick(node);
	ask_tick(node);
	if (node->read_at != 0 && node->read_at <= cell.now)
		row_read(node);
	switch (watch_next(&node->watch, cell.now)) {
	case WATCH_READ:
		cell.reads++;
		watch_reading(&node->watch, cell.now);
		node->read_at = cell.now + cell.read_takes;
		break;
	case WATCH_HELLO:
		hello_send(node);
		break;
	case WATCH_POLL:
		ask_send(node);
		break;
	case WATCH_TAKE_OVER:
		claim_begin(node);
		break;
	default:
		break;
	}
}

static void
step(void)
{
	unsigned int i;

	cell.now += STEP;
	cell.steps++;
	for (i = 0; i < NODES; i++) {
		struct node *node = &cell.nodes[i];

		if (!node_runs(node))
			continue;
		if (node->role == MEMBER)
			member_tick(node);
		else if (node->role == CLAIMING)
			claim_tick(node);
		else
			owner_tick(node);
	}
}

static void
play(gb_time how_long)
{
	gb_time until = cell.now + how_long;

	while (cell.now < until)
		step();
}

static void
node_begin(unsigned int i)
{
	struct node *node = &cell.nodes[i];

	memset(node, 0, sizeof(*node));
	node->incarnation = ++cell.next_incarnation;
	watch_init(&node->watch, cell.addr[i], 250, cell.now, cell.seed + i);
}

/** Eight instances with an owner that all of them hear. */
static void
begin(uint64_t seed)
{
	unsigned int i;

	memset(&cell, 0, sizeof(cell));
	cell.now = 100 * GB_SEC;
	cell.way = GB_MSEC;
	cell.load_takes = LOAD_TAKES;
	cell.read_takes = READ_TAKES;
	cell.seed = seed;
	cell.row_owner = NOBODY;
	for (i = 0; i < NODES; i++) {
		snprintf(
		    cell.addr[i], sizeof(cell.addr[i]), "10.0.0.%u:70", i + 1);
		node_begin(i);
	}
	play(10 * GB_SEC);
	assert_int_not_equal(cell.row_owner, NOBODY);
	cell.changes = 0;
}

/** Nothing passes between the members of two groups, given as bits. */
static void
groups_cut(unsigned int group)
{
	unsigned int i;
	unsigned int j;

	for (i = 0; i < NODES; i++) {
		for (j = 0; j < NODES; j++)
			cell.cut[i][j] =
			    ((group >> i) & 1) != ((group >> j) & 1);
	}
}

static void
assert_changes_bounded(void)
{
	play(60 * GB_SEC);
	assert_in_range(cell.changes, 0, CHANGES_MOST);
	cell.changes = 0;
	cell.steps = 0;
	cell.owned = 0;
	play(60 * GB_SEC);
	assert_in_range(cell.changes, 0, CHANGES_LATER);
	assert_true(cell.owned * 4 > cell.steps * 3);
}

#define SEEDS 20

static void
test_quiet_cell_keeps_its_owner(void **state)
{
	(void)state;
	begin(1);
	cell.reads = 0;
	play(300 * GB_SEC);
	assert_int_equal(cell.changes, 0);
	assert_int_equal(cell.reads, 0);
}

/** Members of a quiet cell read the owner's row before each hello. */
static void
test_far_members_read_no_rows_of_an_owner_they_hear(void **state)
{
	(void)state;
	begin(1);
	cell.way = 60 * GB_MSEC;
	play(10 * GB_SEC);
	cell.reads = 0;
	play(60 * GB_SEC);
	assert_int_equal(cell.changes, 0);
	assert_int_equal(cell.reads, 0);
}

/** Two owners deposed each other for as long as no member heard the first. */
static void
test_owner_that_no_member_hears_does_not_return(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		begin(seed);
		groups_cut(1U << cell.row_owner);
		play(60 * GB_SEC);
		assert_in_range(cell.changes, 0, 1);
	}
}

/** The same where members reach the owner, and its answers are lost. */
static void
test_owner_whose_answers_are_lost_does_not_return(void **state)
{
	uint64_t seed;
	unsigned int i;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		begin(seed);
		for (i = 0; i < NODES; i++)
			cell.cut[cell.row_owner][i] = true;
		play(60 * GB_SEC);
		assert_in_range(cell.changes, 0, 1);
	}
}

/** A member that hears nobody leaves an owner alone that goes on. */
static void
test_member_that_hears_nobody_leaves_the_owner_alone(void **state)
{
	unsigned int i;

	(void)state;
	for (i = 0; i < NODES; i++) {
		begin(1);
		if (i == cell.row_owner)
			continue;
		groups_cut(1U << i);
		play(60 * GB_SEC);
		assert_int_equal(cell.changes, 0);
	}
}

/** A cut that refuses connections looks like a process that is gone. */
static void
test_cuts_that_refuse_change_hands_seldom(void **state)
{
	static const unsigned int groups[] = {0x01, 0x03, 0x0f, 0x80};
	uint64_t seed;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(groups) / sizeof(groups[0]); i++) {
		for (seed = 1; seed <= SEEDS; seed++) {
			begin(seed);
			cell.cuts_refuse = true;
			groups_cut(groups[i]);
			assert_changes_bounded();
		}
	}
}

static void
test_groups_that_are_cut_off_change_hands_seldom(void **state)
{
	static const unsigned int groups[] = {0x03, 0x07, 0x0f, 0x1f, 0x55};
	uint64_t seed;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(groups) / sizeof(groups[0]); i++) {
		for (seed = 1; seed <= SEEDS; seed++) {
			begin(seed);
			groups_cut(groups[i]);
			assert_changes_bounded();
		}
	}
}

/** Each instance hears only its neighbours. */
static void
test_ring_of_instances_changes_hands_seldom(void **state)
{
	uint64_t seed;
	unsigned int i;
	unsigned int j;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		begin(seed);
		for (i = 0; i < NODES; i++) {
			for (j = 0; j < NODES; j++)
				cell.cut[i][j] = (i + 1) % NODES != j &&
						 (j + 1) % NODES != i;
		}
		assert_changes_bounded();
	}
}

/** Answers come after callers have given up waiting. */
static void
test_slow_instances_change_hands_seldom(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		begin(seed);
		cell.way = 350 * GB_MSEC;
		assert_changes_bounded();
	}
}

/** A takeover takes longer than members wait for an owner that is at work. */
static void
test_slow_takeovers_come_to_an_end(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		begin(seed);
		cell.way = 350 * GB_MSEC;
		cell.load_takes = LOAD_TAKES_SLOW;
		assert_changes_bounded();
	}
}

/** Whoever owns the pool stands still for 1.3 s, again and again. */
static void
test_paused_owners_change_hands_seldom(void **state)
{
	unsigned int changes = 0;
	uint64_t seed;
	int i;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		begin(seed);
		for (i = 0; i < 24; i++) {
			cell.nodes[cell.row_owner].paused_until =
			    cell.now + 1300 * GB_MSEC;
			play(2500 * GB_MSEC);
		}
		if (cell.changes > changes)
			changes = cell.changes;
	}
	assert_in_range(changes, 0, CHANGES_MOST);
}

/** Every instance runs for 0.1 s of each 0.8 s, at its own moments. */
static void
test_starved_instances_change_hands_seldom(void **state)
{
	uint64_t seed;
	unsigned int i;
	gb_time until;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		begin(seed);
		until = cell.now + 60 * GB_SEC;
		while (cell.now < until) {
			for (i = 0; i < NODES; i++) {
				if ((cell.now / STEP + i * 20) % 160 == 0)
					cell.nodes[i].paused_until =
					    cell.now + 700 * GB_MSEC;
			}
			step();
		}
		assert_in_range(cell.changes, 0, CHANGES_MOST);
	}
}

/** Run so that each instance runs for a step and stands still for a time. */
static void
step_slowly(gb_time pause)
{
	unsigned int i;

	step();
	for (i = 0; i < NODES; i++) {
		if (cell.nodes[i].paused_until <= cell.now)
			cell.nodes[i].paused_until = cell.now + pause;
	}
}

/** Kill the owner, without a word or so that its port refuses. */
static void
owner_kill(void)
{
	cell.nodes[cell.row_owner].dead = true;
}

static gb_time
succeeded_after(void)
{
	uint64_t epoch = cell.row_epoch;
	gb_time began = cell.now;

	while (cell.row_epoch == epoch && cell.now - began < 20 * GB_SEC)
		step();
	return cell.now - began;
}

static void
test_dead_owner_is_succeeded_at_once(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		begin(seed);
		play((gb_time)(seed * 37) * GB_MSEC);
		owner_kill();
		assert_in_range(succeeded_after(), 0, SUCCEEDED_WITHIN);
	}
}

/** Time between two looks counted as standing still, whole: loops that were
 * slow all the time never missed an owner. */
static void
test_dead_owner_is_succeeded_by_slow_loops(void **state)
{
	static const gb_time pauses[] = {
	    155 * GB_MSEC, 200 * GB_MSEC, 300 * GB_MSEC};
	uint64_t epoch;
	gb_time began;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(pauses) / sizeof(pauses[0]); i++) {
		begin(i + 1);
		owner_kill();
		epoch = cell.row_epoch;
		began = cell.now;
		while (
		    cell.row_epoch == epoch && cell.now - began < 20 * GB_SEC)
			step_slowly(pauses[i]);
		assert_in_range(cell.now - began, 0, SUCCEEDED_BY_SLOW);
	}
}

/** Reads that take 0.4 s held a takeover up until two of them were compared. */
static void
test_dead_owner_is_succeeded_soon_while_the_store_is_slow(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		begin(seed);
		cell.read_takes = 400 * GB_MSEC;
		play((gb_time)(seed * 37) * GB_MSEC);
		owner_kill();
		assert_in_range(succeeded_after(), 0, SUCCEEDED_SLOWLY);
	}
}

/** Owners that die one after the other make nobody more patient. */
static void
test_owners_that_die_in_turn_are_succeeded_at_once(void **state)
{
	unsigned int i;

	(void)state;
	begin(3);
	for (i = 0; i + 2 < NODES; i++) {
		play(2 * GB_SEC);
		owner_kill();
		assert_in_range(succeeded_after(), 0, SUCCEEDED_WITHIN);
	}
}

/** A process that is killed is missed sooner than a machine, also when its
 * successors are killed a moment after they have begun. */
static void
test_killed_owners_are_succeeded_sooner(void **state)
{
	unsigned int i;

	(void)state;
	begin(6);
	for (i = 0; i + 2 < NODES; i++) {
		play(2 * GB_SEC);
		owner_kill();
		cell.nodes[cell.row_owner].refuses = true;
		assert_in_range(succeeded_after(), 0,
		    i == 0 ? KILLED_WITHIN : SUCCEEDED_WITHIN);
	}
}

/** The same for instances that come back as new processes. */
static void
test_owners_that_restart_in_turn_are_succeeded_at_once(void **state)
{
	unsigned int i;

	(void)state;
	begin(4);
	for (i = 0; i < 12; i++) {
		unsigned int owner = cell.row_owner;

		play(3 * GB_SEC);
		owner_kill();
		assert_in_range(succeeded_after(), 0, SUCCEEDED_WITHIN);
		node_begin(owner);
	}
}

/** What was learned from a cut is forgotten when it is over. */
static void
test_dead_owner_is_succeeded_at_once_after_a_cut(void **state)
{
	(void)state;
	begin(5);
	groups_cut(0x0f);
	play(30 * GB_SEC);
	groups_cut(0);
	play(60 * GB_SEC);
	cell.changes = 0;
	owner_kill();
	assert_in_range(succeeded_after(), 0, SUCCEEDED_WITHIN);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_quiet_cell_keeps_its_owner),
	    cmocka_unit_test(
		test_far_members_read_no_rows_of_an_owner_they_hear),
	    cmocka_unit_test(test_owner_that_no_member_hears_does_not_return),
	    cmocka_unit_test(test_owner_whose_answers_are_lost_does_not_return),
	    cmocka_unit_test(
		test_member_that_hears_nobody_leaves_the_owner_alone),
	    cmocka_unit_test(test_cuts_that_refuse_change_hands_seldom),
	    cmocka_unit_test(test_groups_that_are_cut_off_change_hands_seldom),
	    cmocka_unit_test(test_ring_of_instances_changes_hands_seldom),
	    cmocka_unit_test(test_slow_instances_change_hands_seldom),
	    cmocka_unit_test(test_slow_takeovers_come_to_an_end),
	    cmocka_unit_test(test_paused_owners_change_hands_seldom),
	    cmocka_unit_test(test_starved_instances_change_hands_seldom),
	    cmocka_unit_test(test_dead_owner_is_succeeded_at_once),
	    cmocka_unit_test(test_dead_owner_is_succeeded_by_slow_loops),
	    cmocka_unit_test(
		test_dead_owner_is_succeeded_soon_while_the_store_is_slow),
	    cmocka_unit_test(
		test_owners_that_die_in_turn_are_succeeded_at_once),
	    cmocka_unit_test(test_killed_owners_are_succeeded_sooner),
	    cmocka_unit_test(
		test_owners_that_restart_in_turn_are_succeeded_at_once),
	    cmocka_unit_test(test_dead_owner_is_succeeded_at_once_after_a_cut),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
