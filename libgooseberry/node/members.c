/**
 * @file members.c
 * The members that an owner knows from their hellos.
 *
 * Each of up to 97 nodes sends five hellos a second.  If every answer had the
 * list of members and a new order of succession, the cost would grow with the
 * square of the number of nodes.  Therefore a member is sent the list only when
 * its own is older, and the order is updated at intervals.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "node_state.h"

/** Members that have sent no hello for this long are removed from the list. */
#define MEMBER_TIMEOUT (5 * GB_SEC)
/** Interval at which the order of succession is updated.  Hellos come
 * every 0.2 s, and a successor is dropped after a silence of 0.6 s. */
#define MEMBERS_UPDATE_INTERVAL (100 * GB_MSEC)

static void
member_drop(struct gb_node *node, struct node_member *member)
{
	HASH_DEL(node->members, member);
	free(member);
	node->members_vers++;
}

static struct node_member *
member_new(struct gb_node *node, const gb_hello *hello)
{
	struct node_member *member = gb_calloc(1, sizeof(*member));

	snprintf(member->addr, sizeof(member->addr), "%s", hello->addr);
	member->rank = SUCCESSION_UNRANKED;
	HASH_ADD_STR(node->members, addr, member);
	node->members_vers++;
	gb_event(node->events, GB_EVENT_ALWAYS, "member_heard", "{s:s, s:s}",
	    "member", hello->name, "addr", hello->addr);
	return member;
}

struct node_member *
node_member_hello_received(struct gb_node *node, const gb_hello *hello)
{
	struct node_member *member;
	gb_time now = node_now();

	HASH_FIND_STR(node->members, hello->addr, member);
	if (member == NULL)
		member = member_new(node, hello);
	member->last_heard = now;
	member->config = hello->config;
	member->leaving = hello->leaving;
	member->cpu_milli = hello->cpu_milli;
	if (member->incarnation != hello->incarnation) {
		member->incarnation = hello->incarnation;
		member->started = now - hello->up_us;
	}
	gb_pool_member_update(node->pool, now, hello->addr, !hello->leaving);
	if (!hello->leaving)
		gb_pool_process_alive(node->pool, now, hello->incarnation);
	return member;
}

void
node_members_keep_known(struct gb_node *node)
{
	struct node_member *member;
	gb_time now = node_now();

	free(node->known_members);
	node->known_members =
	    gb_calloc(HASH_COUNT(node->members) + 1, GB_NAME_MAX + 1);
	node->known_members_count = 0;
	node->known_members_vers = 0;
	for (member = node->members; member != NULL; member = member->hh.next) {
		if (now - member->last_heard <= MEMBER_TIMEOUT)
			snprintf(
			    node->known_members[node->known_members_count++],
			    GB_NAME_MAX + 1, "%s", member->addr);
	}
	watch_set_members(
	    &node->watch, (unsigned int)node->known_members_count);
}

size_t
node_members_order(struct gb_node *node, struct succession_member *out)
{
	struct node_member *member;
	size_t count = 0;

	for (member = node->members; member != NULL; member = member->hh.next) {
		struct succession_member *m = &out[count++];

		m->addr = member->addr;
		m->cpu_milli = member->cpu_milli;
		m->up = node_now() - member->started;
		m->silent = node_now() - member->last_heard;
		m->leaving = member->leaving;
		m->current = node->config != NULL &&
			     member->config >= node->config->version;
	}
	return succession_order(out, count);
}

/** Give the most suitable successors a rank. */
static void
members_rank(struct gb_node *node)
{
	struct succession_member *order =
	    gb_calloc(HASH_COUNT(node->members), sizeof(*order));
	size_t count = node_members_order(node, order);
	struct node_member *member;
	uint32_t i;

	for (member = node->members; member != NULL; member = member->hh.next)
		member->rank = SUCCESSION_UNRANKED;
	node->ranked = count > SUCCESSION_RANKED_MAX ? SUCCESSION_RANKED_MAX
						     : (uint32_t)count;
	for (i = 0; i < node->ranked; i++) {
		HASH_FIND_STR(node->members, order[i].addr, member);
		if (member != NULL)
			member->rank = i;
	}
	free(order);
}

/** Drop silent members and update the ranks, if that is due. */
static void
members_update(struct gb_node *node)
{
	struct node_member *member;
	struct node_member *next;
	gb_time now = node_now();

	if (node->members_update_at > now)
		return;
	node->members_update_at = now + MEMBERS_UPDATE_INTERVAL;
	node->largest_milli = 0;
	HASH_ITER(hh, node->members, member, next)
	{
		if (now - member->last_heard > MEMBER_TIMEOUT)
			member_drop(node, member);
		else if (member->cpu_milli > node->largest_milli)
			node->largest_milli = member->cpu_milli;
	}
	members_rank(node);
}

void
node_members_fill(struct gb_node *node, const struct node_member *to,
    uint64_t known, gb_hello_res *res)
{
	struct node_member *member;

	members_update(node);
	res->largest_milli = node->largest_milli;
	res->rank = to->rank;
	res->ranked = node->ranked;
	res->members_vers = node->members_vers;
	if (known == node->members_vers)
		return;
	res->members.members_val =
	    gb_calloc(HASH_COUNT(node->members), sizeof(gb_name));
	for (member = node->members; member != NULL; member = member->hh.next)
		res->members.members_val[res->members.members_len++] =
		    member->addr;
}
