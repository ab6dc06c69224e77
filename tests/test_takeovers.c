/**
 * @file test_takeovers.c
 * Guards against a pool whose owner changes repeatedly while paths between
 * nodes are cut, or paths, the store or nodes are slow, and against a dead
 * owner that is succeeded late.  Both come about when nodes misjudge an owner's
 * silence. Simulates eight nodes, the owner's row and the paths between nodes
 * in virtual time.
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
#define NO_OWNER NODES
/** Processor of each node, in thousandths. */
#define NODE_CPU_MILLI 250
#define STEP (5 * GB_MSEC)
#define READ_DURATION (4 * GB_MSEC)
#define CLAIM_DURATION (15 * GB_MSEC)
/** From the claim until the new owner serves the pool, and until the former
 * owner learns of it from a worker. */
#define LOAD_DURATION (100 * GB_MSEC)
#define LOAD_DURATION_SLOW (3 * GB_SEC)
/** Interval at which an owner renews its row. */
#define RENEW_INTERVAL (500 * GB_MSEC)
#define CALL_TIMEOUT (600 * GB_MSEC)
/** An owner drops a member that has sent no hello for this long. */
#define MEMBER_TIMEOUT (5 * GB_SEC)
/** Largest number of members in a poll. */
#define POLLED_MAX 3
/** Largest number of changes of the owner in the first minute of a lasting
 * disturbance, and in the minute after it. */
#define OWNER_CHANGES_MAX 8
#define OWNER_CHANGES_MAX_LATER 5
/** Longest time from the end of an owner until the next one has claimed the
 * pool. */
#define TAKEOVER_MAX (1500 * GB_MSEC)
/** The same where nodes run only three to six times a second. */
#define TAKEOVER_MAX_SLOW_LOOPS (4 * GB_SEC)
/** The same where the address of the owner refuses connections. */
#define TAKEOVER_MAX_REFUSED (500 * GB_MSEC)
/** The same while reads take 0.4 s: the suspicion timeout, a read, and the time
 * for which two successors wait for their turn. */
#define TAKEOVER_MAX_SLOW_READS (1800 * GB_MSEC)

/** A call to another node. */
struct call {
	bool in_flight;
	unsigned int to; /**< index of the node that is called */
	gb_time sent_at;
};

/** CLAIMING and LOADING are the two phases of a takeover. */
enum role { MEMBER, CLAIMING, LOADING, OWNER };

struct node {
	struct watch watch;
	enum role role;
	uint64_t epoch;
	uint64_t incarnation;
	uint64_t claimed_epoch; /**< epoch that it is claiming */
	struct contention contention;
	enum takeover_cause cause;
	gb_time role_since;
	gb_time renewed_at;
	struct call hello;
	struct call polls[POLLED_MAX];
	gb_time read_at; /**< when a read in flight is answered, 0: none */
	/** When this owner last received a hello of each node, 0: never. */
	gb_time hello_at[NODES];
	bool dead;    /**< answers nothing */
	bool refuses; /**< connections to its address are refused */
	gb_time paused_until;
};

static struct {
	gb_time now;
	struct node nodes[NODES];
	char addr[NODES][GB_NAME_MAX + 1];
	unsigned int row_owner; /**< index of a node, or NO_OWNER */
	uint64_t row_epoch;
	uint64_t row_serial;
	struct contention_row row_contention;
	uint64_t next_incarnation;
	bool cut[NODES][NODES]; /**< messages from the first to the second are
				   lost */
	bool cuts_refuse; /**< connections across a cut are refused, not lost */
	gb_time latency;  /**< of one message */
	gb_time load_duration;
	gb_time read_duration;
	unsigned int steps;
	unsigned int served_steps; /**< steps at which an owner served */
	unsigned int owner_changes;
	unsigned int reads; /**< of the owner's row, by all nodes */
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

/** Whether a call from a node to another has been answered by now. */
static bool
call_answered(const struct node *node, const struct call *call)
{
	const struct node *to = &cell.nodes[call->to];

	return node_runs(to) && !cell.cut[node_index(node)][call->to] &&
	       !cell.cut[call->to][node_index(node)] &&
	       cell.now - call->sent_at >= 2 * cell.latency;
}

/** Whether the connection for a call has been refused by now. */
static bool
call_refused(const struct node *node, const struct call *call)
{
	bool refused =
	    cell.nodes[call->to].refuses ||
	    (cell.cuts_refuse && cell.cut[node_index(node)][call->to]);

	return refused && cell.now - call->sent_at >= 2 * cell.latency;
}

/** Makes a node that owned or claimed the pool a member again. */
static void
node_lose(struct node *node)
{
	node->role = MEMBER;
	watch_pool_lost(&node->watch, cell.now, 0);
}

/* Hellos ------------------------------------------------------------------ */

static unsigned int
member_count(const struct node *owner)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < NODES; i++)
		count += owner->hello_at[i] != 0 &&
			 cell.now - owner->hello_at[i] < MEMBER_TIMEOUT;
	return count;
}

/** Rank of a member in the order of succession.  In this model that is the
 * order of the indexes of the members from which the owner has recently
 * received a hello. */
static unsigned int
member_rank(const struct node *owner, unsigned int member)
{
	unsigned int rank = 0;
	unsigned int i;

	for (i = 0; i < member; i++)
		rank += owner->hello_at[i] != 0 &&
			cell.now - owner->hello_at[i] < CALL_TIMEOUT;
	return rank;
}

/** Delivers the answer to a node's hello, from the node `to`. */
static void
hello_answer(struct node *node, struct node *to)
{
	struct watch_owner_status status = {0};

	if (to->role == LOADING) {
		watch_owner_acquiring(&node->watch, cell.now);
		return;
	}
	if (to->role != OWNER) {
		watch_owner_denied(
		    &node->watch, cell.now, to->watch.owner, to->watch.epoch);
		return;
	}
	to->hello_at[node_index(node)] = cell.now;
	/* A count that has grown is stored at once. */
	if (contention_process_alive(
		&to->contention, cell.now, node->incarnation))
		to->renewed_at = cell.now - RENEW_INTERVAL;
	status.epoch = to->epoch;
	status.largest_milli = NODE_CPU_MILLI;
	status.place.rank = member_rank(to, node_index(node));
	status.place.ranked = member_count(to);
	status.place.members = member_count(to) - 1;
	watch_hello_answered(&node->watch, cell.now, &status);
}

/** Ends a node's hello if it was answered or refused, or has timed out. */
static void
hello_tick(struct node *node)
{
	struct call *call = &node->hello;

	if (!call->in_flight)
		return;
	if (call_refused(node, call)) {
		call->in_flight = false;
		watch_hello_failed(&node->watch, cell.now, true);
	} else if (call_answered(node, call)) {
		call->in_flight = false;
		hello_answer(node, &cell.nodes[call->to]);
	} else if (cell.now - call->sent_at >= CALL_TIMEOUT) {
		call->in_flight = false;
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

/* Polls of members -------------------------------------------------------- */

/** Asks members, from a random one on, whether they reach the owner. */
static void
poll_send(struct node *node)
{
	unsigned int from = (unsigned int)gb_random_next(&cell.seed) % NODES;
	unsigned int polled = 0;
	unsigned int i;

	if (node->watch.place.members > 0) {
		for (i = 0; i < NODES && polled < POLLED_MAX; i++) {
			unsigned int to = (from + i) % NODES;

			if (to == node_index(node) ||
			    strcmp(cell.addr[to], node->watch.owner) == 0)
				continue;
			node->polls[polled++] =
			    (struct call){true, to, cell.now};
		}
	}
	watch_poll_begun(&node->watch, cell.now, polled);
}

/** Delivers votes that have arrived, and ends calls that have timed out. */
static void
poll_tick(struct node *node)
{
	unsigned int i;

	for (i = 0; i < POLLED_MAX; i++) {
		struct call *call = &node->polls[i];
		const struct node *to = &cell.nodes[call->to];

		if (!call->in_flight)
			continue;
		if (call_answered(node, call)) {
			call->in_flight = false;
			watch_add_vote(&node->watch,
			    to->role == OWNER || to->role == LOADING ||
				    cell.now - to->watch.last_heard <
					CALL_TIMEOUT
				? WATCH_VOTE_REACHABLE
				: WATCH_VOTE_UNREACHABLE);
		} else if (cell.now - call->sent_at >= CALL_TIMEOUT) {
			call->in_flight = false;
			watch_add_vote(&node->watch, WATCH_VOTE_NONE);
		}
	}
}

/* The owner's row --------------------------------------------------------- */

/** Delivers the answer to a node's read of the owner's row. */
static void
row_read(struct node *node)
{
	const struct watch_row row = {
	    cell.row_owner == NO_OWNER ? NULL : cell.addr[cell.row_owner],
	    cell.row_epoch, cell.row_serial, cell.row_contention.count};

	node->read_at = 0;
	watch_row(&node->watch, cell.now, &row);
}

/** Starts a claim, unless the row names an owner that is newer than the one
 * that the node knows. */
static void
claim_begin(struct node *node)
{
	uint64_t known_epoch = node->watch.epoch;

	node->cause = watch_takeover_cause(&node->watch, cell.now);
	watch_pool_lost(&node->watch, cell.now, 0);
	if (cell.row_owner != NO_OWNER && cell.row_epoch > known_epoch)
		return;
	node->role = CLAIMING;
	node->claimed_epoch = cell.row_epoch + 1;
	node->role_since = cell.now;
}

/** Ends a claim after its duration; it fails if another node was first. */
static void
claim_tick(struct node *node)
{
	if (cell.now - node->role_since < CLAIM_DURATION)
		return;
	if (cell.row_epoch + 1 != node->claimed_epoch) {
		node_lose(node);
		return;
	}
	if (cell.row_owner != NO_OWNER)
		cell.owner_changes++;
	contention_take_over(&node->contention, cell.now, &cell.row_contention,
	    node->incarnation, node->cause);
	cell.row_contention.count = node->contention.count;
	cell.row_contention.incarnation = node->incarnation;
	cell.row_owner = node_index(node);
	cell.row_epoch = node->claimed_epoch;
	cell.row_serial = 1;
	node->epoch = node->claimed_epoch;
	node->role = LOADING;
	node->role_since = cell.now;
	node->renewed_at = cell.now;
	memset(node->hello_at, 0, sizeof(node->hello_at));
}

/** Renews an owner's row.  A deposed owner learns of the new one when it renews
 * the row, or from a worker once the new one has loaded the pool. */
static void
owner_tick(struct node *node)
{
	if (cell.row_epoch > node->epoch) {
		if (cell.now - cell.nodes[cell.row_owner].role_since >=
			cell.load_duration ||
		    cell.now - node->renewed_at >= RENEW_INTERVAL) {
			if (node->role == OWNER)
				contention_owner_deposed(
				    &node->contention, cell.now);
			node_lose(node);
			watch_set_members(&node->watch, member_count(node));
		}
		return;
	}
	if (node->role == LOADING &&
	    cell.now - node->role_since >= cell.load_duration)
		node->role = OWNER;
	cell.served_steps += node->role == OWNER;
	if (node->role == OWNER &&
	    cell.now - node->renewed_at >= RENEW_INTERVAL) {
		contention_tick(&node->contention, cell.now);
		node->renewed_at = cell.now;
		cell.row_serial++;
		cell.row_contention.count = node->contention.count;
	}
}

/* Simulation -------------------------------------------------------------- */

static void
member_tick(struct node *node)
{
	hello_tick(node);
	poll_tick(node);
	if (node->read_at != 0 && node->read_at <= cell.now)
		row_read(node);
	switch (watch_next(&node->watch, cell.now)) {
	case WATCH_READ_ROW:
		cell.reads++;
		watch_read_sent(&node->watch, cell.now);
		node->read_at = cell.now + cell.read_duration;
		break;
	case WATCH_HELLO:
		hello_send(node);
		break;
	case WATCH_POLL:
		poll_send(node);
		break;
	case WATCH_TAKE_OVER:
		claim_begin(node);
		break;
	default:
		break;
	}
}

/** Advances time by one step and runs each node that is neither dead nor
 * paused. */
static void
cell_step(void)
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
cell_run(gb_time duration)
{
	gb_time until = cell.now + duration;

	while (cell.now < until)
		cell_step();
}

/** Starts a node as a new process. */
static void
node_start(unsigned int i)
{
	struct node *node = &cell.nodes[i];

	memset(node, 0, sizeof(*node));
	node->incarnation = ++cell.next_incarnation;
	watch_init(&node->watch, cell.addr[i], NODE_CPU_MILLI, cell.now,
	    cell.seed + i);
}

/** Starts all nodes and runs them until one owns the pool and the others reach
 * it. */
static void
cell_start(uint64_t seed)
{
	unsigned int i;

	memset(&cell, 0, sizeof(cell));
	cell.now = 100 * GB_SEC;
	cell.latency = GB_MSEC;
	cell.load_duration = LOAD_DURATION;
	cell.read_duration = READ_DURATION;
	cell.seed = seed;
	cell.row_owner = NO_OWNER;
	for (i = 0; i < NODES; i++) {
		snprintf(
		    cell.addr[i], sizeof(cell.addr[i]), "10.0.0.%u:70", i + 1);
		node_start(i);
	}
	cell_run(10 * GB_SEC);
	assert_int_not_equal(cell.row_owner, NO_OWNER);
	cell.owner_changes = 0;
}

/** Cuts all paths between the nodes whose bits are set and the others; removes
 * all other cuts. */
static void
cell_cut_group(unsigned int group)
{
	unsigned int i;
	unsigned int j;

	for (i = 0; i < NODES; i++) {
		for (j = 0; j < NODES; j++)
			cell.cut[i][j] =
			    ((group >> i) & 1) != ((group >> j) & 1);
	}
}

/** Runs for two minutes and asserts that the owner changes seldom; in the
 * second minute the pool must be served for three quarters of the time. */
static void
assert_owner_changes_bounded(void)
{
	cell_run(60 * GB_SEC);
	assert_in_range(cell.owner_changes, 0, OWNER_CHANGES_MAX);
	cell.owner_changes = 0;
	cell.steps = 0;
	cell.served_steps = 0;
	cell_run(60 * GB_SEC);
	assert_in_range(cell.owner_changes, 0, OWNER_CHANGES_MAX_LATER);
	assert_true(cell.served_steps * 4 > cell.steps * 3);
}

/** Number of seeds that a test with random times runs with. */
#define SEEDS 20

static void
test_quiet_cell_keeps_its_owner(void **state)
{
	(void)state;
	cell_start(1);
	cell.reads = 0;
	cell_run(300 * GB_SEC);
	assert_int_equal(cell.owner_changes, 0);
	assert_int_equal(cell.reads, 0);
}

/** Guards against hellos that count as missed because the owner is far away, so
 * that members read its row before each hello. */
static void
test_far_members_read_no_rows(void **state)
{
	(void)state;
	cell_start(1);
	cell.latency = 60 * GB_MSEC;
	cell_run(10 * GB_SEC);
	cell.reads = 0;
	cell_run(60 * GB_SEC);
	assert_int_equal(cell.owner_changes, 0);
	assert_int_equal(cell.reads, 0);
}

/** Guards against two owners that depose each other for as long as no member
 * reaches the first. */
static void
test_unreachable_owner_does_not_return(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		cell_start(seed);
		cell_cut_group(1U << cell.row_owner);
		cell_run(60 * GB_SEC);
		assert_in_range(cell.owner_changes, 0, 1);
	}
}

/** The same where members reach the owner, but its answers are lost. */
static void
test_owner_with_lost_answers_does_not_return(void **state)
{
	uint64_t seed;
	unsigned int i;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		cell_start(seed);
		for (i = 0; i < NODES; i++)
			cell.cut[cell.row_owner][i] = true;
		cell_run(60 * GB_SEC);
		assert_in_range(cell.owner_changes, 0, 1);
	}
}

/** A member that reaches no other node does not depose an owner that renews its
 * row. */
static void
test_isolated_member_deposes_no_owner(void **state)
{
	unsigned int i;

	(void)state;
	for (i = 0; i < NODES; i++) {
		cell_start(1);
		if (i == cell.row_owner)
			continue;
		cell_cut_group(1U << i);
		cell_run(60 * GB_SEC);
		assert_int_equal(cell.owner_changes, 0);
	}
}

/** A cut that refuses connections looks like a process that has ended. */
static void
test_cuts_that_refuse_change_owners_seldom(void **state)
{
	static const unsigned int groups[] = {0x01, 0x03, 0x0f, 0x80};
	uint64_t seed;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(groups) / sizeof(groups[0]); i++) {
		for (seed = 1; seed <= SEEDS; seed++) {
			cell_start(seed);
			cell.cuts_refuse = true;
			cell_cut_group(groups[i]);
			assert_owner_changes_bounded();
		}
	}
}

static void
test_cut_groups_change_owners_seldom(void **state)
{
	static const unsigned int groups[] = {0x03, 0x07, 0x0f, 0x1f, 0x55};
	uint64_t seed;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(groups) / sizeof(groups[0]); i++) {
		for (seed = 1; seed <= SEEDS; seed++) {
			cell_start(seed);
			cell_cut_group(groups[i]);
			assert_owner_changes_bounded();
		}
	}
}

/** Each node reaches only its two neighbours. */
static void
test_ring_of_nodes_changes_owners_seldom(void **state)
{
	uint64_t seed;
	unsigned int i;
	unsigned int j;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		cell_start(seed);
		for (i = 0; i < NODES; i++) {
			for (j = 0; j < NODES; j++)
				cell.cut[i][j] = (i + 1) % NODES != j &&
						 (j + 1) % NODES != i;
		}
		assert_owner_changes_bounded();
	}
}

/** Answers arrive after the calls have timed out. */
static void
test_slow_paths_change_owners_seldom(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		cell_start(seed);
		cell.latency = 350 * GB_MSEC;
		assert_owner_changes_bounded();
	}
}

/** Loading the pool after a claim takes longer than members wait for an owner
 * that does not answer. */
static void
test_slow_takeovers_change_owners_seldom(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		cell_start(seed);
		cell.latency = 350 * GB_MSEC;
		cell.load_duration = LOAD_DURATION_SLOW;
		assert_owner_changes_bounded();
	}
}

/** Whichever node owns the pool pauses for 1.3 s, once in 2.5 s. */
static void
test_paused_owners_change_seldom(void **state)
{
	unsigned int changes_max = 0;
	uint64_t seed;
	int i;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		cell_start(seed);
		for (i = 0; i < 24; i++) {
			cell.nodes[cell.row_owner].paused_until =
			    cell.now + 1300 * GB_MSEC;
			cell_run(2500 * GB_MSEC);
		}
		if (cell.owner_changes > changes_max)
			changes_max = cell.owner_changes;
	}
	assert_in_range(changes_max, 0, OWNER_CHANGES_MAX);
}

/** Every node runs for 0.1 s of each 0.8 s, the nodes one after the other. */
static void
test_starved_nodes_change_owners_seldom(void **state)
{
	uint64_t seed;
	unsigned int i;
	gb_time until;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		cell_start(seed);
		until = cell.now + 60 * GB_SEC;
		while (cell.now < until) {
			for (i = 0; i < NODES; i++) {
				if ((cell.now / STEP + i * 20) % 160 == 0)
					cell.nodes[i].paused_until =
					    cell.now + 700 * GB_MSEC;
			}
			cell_step();
		}
		assert_in_range(cell.owner_changes, 0, OWNER_CHANGES_MAX);
	}
}

/** Runs one step; each node that ran then pauses. */
static void
cell_step_slowly(gb_time pause)
{
	unsigned int i;

	cell_step();
	for (i = 0; i < NODES; i++) {
		if (cell.nodes[i].paused_until <= cell.now)
			cell.nodes[i].paused_until = cell.now + pause;
	}
}

/** Kills the owner; its address refuses connections only if `refuses` is set as
 * well. */
static void
owner_kill(void)
{
	cell.nodes[cell.row_owner].dead = true;
}

/** Runs until another node has claimed the pool, at most for 20 s; returns the
 * duration. */
static gb_time
takeover_duration(void)
{
	uint64_t epoch = cell.row_epoch;
	gb_time began = cell.now;

	while (cell.row_epoch == epoch && cell.now - began < 20 * GB_SEC)
		cell_step();
	return cell.now - began;
}

static void
test_dead_owner_is_succeeded_at_once(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		cell_start(seed);
		cell_run((gb_time)(seed * 37) * GB_MSEC);
		owner_kill();
		assert_in_range(takeover_duration(), 0, TAKEOVER_MAX);
	}
}

/** Guards against loops that are always slow and never miss an owner, because
 * all the time between two calls of watch_next() counts as a pause. */
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
		cell_start(i + 1);
		owner_kill();
		epoch = cell.row_epoch;
		began = cell.now;
		while (
		    cell.row_epoch == epoch && cell.now - began < 20 * GB_SEC)
			cell_step_slowly(pauses[i]);
		assert_in_range(cell.now - began, 0, TAKEOVER_MAX_SLOW_LOOPS);
	}
}

/** Guards against a takeover that is delayed until two reads of the row are
 * compared, while each of them takes 0.4 s. */
static void
test_slow_store_delays_takeover_little(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		cell_start(seed);
		cell.read_duration = 400 * GB_MSEC;
		cell_run((gb_time)(seed * 37) * GB_MSEC);
		owner_kill();
		assert_in_range(
		    takeover_duration(), 0, TAKEOVER_MAX_SLOW_READS);
	}
}

/** Owners that die one after the other do not lengthen the suspicion timeout.
 */
static void
test_owners_that_die_in_turn_are_succeeded_at_once(void **state)
{
	unsigned int i;

	(void)state;
	cell_start(3);
	for (i = 0; i + 2 < NODES; i++) {
		cell_run(2 * GB_SEC);
		owner_kill();
		assert_in_range(takeover_duration(), 0, TAKEOVER_MAX);
	}
}

/** A killed process, whose address refuses connections, is succeeded sooner
 * than a machine that is lost.  Successors that are killed soon after they take
 * over are succeeded within the usual time. */
static void
test_killed_owners_are_succeeded_sooner(void **state)
{
	unsigned int i;

	(void)state;
	cell_start(6);
	for (i = 0; i + 2 < NODES; i++) {
		cell_run(2 * GB_SEC);
		owner_kill();
		cell.nodes[cell.row_owner].refuses = true;
		assert_in_range(takeover_duration(), 0,
		    i == 0 ? TAKEOVER_MAX_REFUSED : TAKEOVER_MAX);
	}
}

/** Owners that die in turn and restart as new processes do not lengthen the
 * suspicion timeout either. */
static void
test_owners_that_restart_in_turn_are_succeeded_at_once(void **state)
{
	unsigned int i;

	(void)state;
	cell_start(4);
	for (i = 0; i < 12; i++) {
		unsigned int owner = cell.row_owner;

		cell_run(3 * GB_SEC);
		owner_kill();
		assert_in_range(takeover_duration(), 0, TAKEOVER_MAX);
		node_start(owner);
	}
}

/** The longer suspicion timeout that a cut has led to ends after the cut. */
static void
test_dead_owner_is_succeeded_at_once_after_a_cut(void **state)
{
	(void)state;
	cell_start(5);
	cell_cut_group(0x0f);
	cell_run(30 * GB_SEC);
	cell_cut_group(0);
	cell_run(60 * GB_SEC);
	cell.owner_changes = 0;
	owner_kill();
	assert_in_range(takeover_duration(), 0, TAKEOVER_MAX);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_quiet_cell_keeps_its_owner),
	    cmocka_unit_test(test_far_members_read_no_rows),
	    cmocka_unit_test(test_unreachable_owner_does_not_return),
	    cmocka_unit_test(test_owner_with_lost_answers_does_not_return),
	    cmocka_unit_test(test_isolated_member_deposes_no_owner),
	    cmocka_unit_test(test_cuts_that_refuse_change_owners_seldom),
	    cmocka_unit_test(test_cut_groups_change_owners_seldom),
	    cmocka_unit_test(test_ring_of_nodes_changes_owners_seldom),
	    cmocka_unit_test(test_slow_paths_change_owners_seldom),
	    cmocka_unit_test(test_slow_takeovers_change_owners_seldom),
	    cmocka_unit_test(test_paused_owners_change_seldom),
	    cmocka_unit_test(test_starved_nodes_change_owners_seldom),
	    cmocka_unit_test(test_dead_owner_is_succeeded_at_once),
	    cmocka_unit_test(test_dead_owner_is_succeeded_by_slow_loops),
	    cmocka_unit_test(test_slow_store_delays_takeover_little),
	    cmocka_unit_test(
		test_owners_that_die_in_turn_are_succeeded_at_once),
	    cmocka_unit_test(test_killed_owners_are_succeeded_sooner),
	    cmocka_unit_test(
		test_owners_that_restart_in_turn_are_succeeded_at_once),
	    cmocka_unit_test(test_dead_owner_is_succeeded_at_once_after_a_cut),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
