/**
 * @file scorer.c
 * Scores of a worker for a task.  The worker with the lowest score is chosen.
 */
#include "gooseberry.h"

/** A share of 1, as an integer. */
#define SHARE_WHOLE 1000
/** Added for each task of the same job in the rack; outweighs all else. */
#define RACK_COST 100000

/** Share of a capacity that would stay free, in thousandths. */
static int64_t
free_share(int free, int need, int capacity)
{
	if (capacity <= 0)
		return 0;
	return (int64_t)(free - need) * SHARE_WHOLE / capacity;
}

/** Pack: prefer the worker on which the least capacity stays free, and
 * processors and memory in equal shares. */
static int64_t
pack_score(const gb_res *free, const gb_res *capacity, const gb_res *need,
    uint32_t same_rack)
{
	int64_t cpu = free_share(free->cpu, need->cpu, capacity->cpu);
	int64_t mem = free_share(free->mem, need->mem, capacity->mem);
	int64_t skew = cpu > mem ? cpu - mem : mem - cpu;

	(void)same_rack;
	return cpu + mem + skew;
}

/** Spread: prefer the rack with the fewest tasks of the job, then the worker on
 * which the most slots and processors stay free. */
static int64_t
spread_score(const gb_res *free, const gb_res *capacity, const gb_res *need,
    uint32_t same_rack)
{
	int64_t slots = free_share(free->slots, need->slots, capacity->slots);
	int64_t cpu = free_share(free->cpu, need->cpu, capacity->cpu);

	return (int64_t)same_rack * RACK_COST - slots - cpu;
}

const struct gb_scorer gb_scorer_pack = {"pack", false, pack_score};
const struct gb_scorer gb_scorer_spread = {"spread", true, spread_score};
