/**
 * @file index.c
 * Placement index: workers by free capacity, in a grid of processor and memory
 * steps.  There are four steps to a power of two.  A search visits only the
 * cells whose workers may fit.
 */
#include <stdlib.h>
#include <string.h>

#include "gooseberry.h"

#define STEPS_PER_POWER 4
/** Steps of processors, in thousandths, and of memory, in MiB.  The last one
 * also has all greater amounts. */
#define CPU_STEPS 96
#define MEM_STEPS 128
#define MEM_WORDS (MEM_STEPS / 64)
#define CLASSES 2 /* without and with a free accelerator */
/** A search ends when this many workers that fit have been scored. */
#define CANDIDATES 12

/** Workers whose free capacity falls into one step of each dimension. */
struct cell {
	uint32_t *worker;
	uint32_t count;
	uint32_t size;
};

/** A worker in the index. */
struct entry {
	gb_res free;
	gb_res capacity;
	uint32_t position; /**< in its cell */
	uint16_t cpu;	   /**< processor step of its cell */
	uint8_t mem;	   /**< memory step of its cell */
	uint8_t class;	   /**< class of its cell */
	bool present;
};

struct gb_index {
	struct cell cells[CLASSES][CPU_STEPS][MEM_STEPS];
	/** A bit for each cell, set if it has workers. */
	uint64_t filled[CLASSES][CPU_STEPS][MEM_WORDS];
	struct entry *entries; /**< by worker */
	uint32_t entry_count;
};

/** Step that an amount falls into, at most steps - 1; 0 for none. */
static unsigned int
step_of(int value, unsigned int steps)
{
	unsigned int power;
	unsigned int step;

	if (value <= 0)
		return 0;
	power = 31 - (unsigned int)__builtin_clz((unsigned int)value);
	step = 1 + power * STEPS_PER_POWER;
	if (power >= 2)
		step += ((unsigned int)value >> (power - 2)) & 3;
	return step < steps ? step : steps - 1;
}

struct gb_index *
gb_index_new(void)
{
	return gb_calloc(1, sizeof(struct gb_index));
}

void
gb_index_free(struct gb_index *index)
{
	struct cell *cell = &index->cells[0][0][0];
	size_t i;

	for (i = 0; i < (size_t)CLASSES * CPU_STEPS * MEM_STEPS; i++)
		free(cell[i].worker);
	free(index->entries);
	free(index);
}

static struct cell *
entry_cell(struct gb_index *index, const struct entry *entry)
{
	return &index->cells[entry->class][entry->cpu][entry->mem];
}

void
gb_index_remove(struct gb_index *index, uint32_t worker)
{
	struct entry *entry;
	struct cell *cell;

	if (worker >= index->entry_count || !index->entries[worker].present)
		return;
	entry = &index->entries[worker];
	cell = entry_cell(index, entry);
	cell->worker[entry->position] = cell->worker[--cell->count];
	index->entries[cell->worker[entry->position]].position =
	    entry->position;
	entry->present = false;
	if (cell->count == 0)
		index->filled[entry->class][entry->cpu][entry->mem / 64] &=
		    ~(1ULL << (entry->mem % 64));
}

static void
entries_grow(struct gb_index *index, uint32_t worker)
{
	uint32_t count = worker + worker / 2 + 16;

	index->entries =
	    gb_realloc(index->entries, count * sizeof(struct entry));
	memset(index->entries + index->entry_count, 0,
	    (count - index->entry_count) * sizeof(struct entry));
	index->entry_count = count;
}

void
gb_index_set(struct gb_index *index, uint32_t worker, const gb_res *free,
    const gb_res *capacity)
{
	struct entry *entry;
	struct cell *cell;
	unsigned int cpu = step_of(free->cpu, CPU_STEPS);
	unsigned int mem = step_of(free->mem, MEM_STEPS);
	unsigned int class = free->accel > 0 ? 1 : 0;

	if (worker >= index->entry_count)
		entries_grow(index, worker);
	entry = &index->entries[worker];
	if (free->slots <= 0) {
		gb_index_remove(index, worker);
		return;
	}
	if (entry->present && entry->cpu == cpu && entry->mem == mem &&
	    entry->class == class) {
		entry->free = *free;
		entry->capacity = *capacity;
		return;
	}
	gb_index_remove(index, worker);
	entry->free = *free;
	entry->capacity = *capacity;
	entry->cpu = (uint16_t)cpu;
	entry->mem = (uint8_t)mem;
	entry->class = (uint8_t) class;
	entry->present = true;
	cell = entry_cell(index, entry);
	if (cell->count == cell->size) {
		cell->size = cell->size * 2 + 4;
		cell->worker =
		    gb_realloc(cell->worker, cell->size * sizeof(uint32_t));
	}
	entry->position = cell->count;
	cell->worker[cell->count++] = worker;
	index->filled[class][cpu][mem / 64] |= 1ULL << (mem % 64);
}

/* Search */

struct search {
	struct gb_index *index;
	const gb_res *need;
	const struct gb_scorer *scorer;
	const struct gb_filter *filter;
	uint32_t best;
	int64_t best_score;
	unsigned int scored; /**< workers that fit and have been scored */
};

/** Score the workers of one cell that fit.  Returns true when CANDIDATES have
 * been scored. */
static bool
search_cell(struct search *s, const struct cell *cell)
{
	uint32_t i;

	for (i = cell->count; i > 0 && s->scored < CANDIDATES; i--) {
		uint32_t worker = cell->worker[i - 1];
		const struct entry *entry = &s->index->entries[worker];
		const struct gb_filter *f = s->filter;
		uint32_t same = 0;
		int64_t score;

		if (!gb_res_fits(s->need, &entry->free))
			continue;
		if (f != NULL && f->allows != NULL &&
		    !f->allows(f->data, worker))
			continue;
		if (f != NULL && f->same_rack != NULL)
			same = f->same_rack(f->data, worker);
		score = s->scorer->score(
		    &entry->free, &entry->capacity, s->need, same);
		s->scored++;
		if (s->best == GB_NONE || score < s->best_score) {
			s->best = worker;
			s->best_score = score;
		}
	}
	return s->scored >= CANDIDATES;
}

/** Search the cells of one processor step, in the order of their memory.
 * Returns true when CANDIDATES have been scored. */
static bool
search_row(struct search *s, unsigned int class, unsigned int cpu,
    unsigned int mem_min)
{
	const uint64_t *filled = s->index->filled[class][cpu];
	unsigned int word;

	for (word = mem_min / 64; word < MEM_WORDS; word++) {
		uint64_t bits = filled[word];

		if (word == mem_min / 64)
			bits &= ~0ULL << (mem_min % 64);
		while (bits != 0) {
			unsigned int bit = (unsigned int)__builtin_ctzll(bits);

			bits &= bits - 1;
			if (search_cell(s,
				&s->index->cells[class][cpu][word * 64 + bit]))
				return true;
		}
	}
	return false;
}

/** Search a class: the processor step with the least free first, or the one
 * with the most free if the scorer wants that.  Returns true when CANDIDATES
 * have been scored. */
static bool
search_class(struct search *s, unsigned int class)
{
	unsigned int cpu_min = step_of(s->need->cpu, CPU_STEPS);
	unsigned int mem_min = step_of(s->need->mem, MEM_STEPS);
	unsigned int i;

	for (i = cpu_min; i < CPU_STEPS; i++) {
		unsigned int cpu = s->scorer->most_free_first
				       ? CPU_STEPS - 1 - (i - cpu_min)
				       : i;

		if (search_row(s, class, cpu, mem_min))
			return true;
	}
	return false;
}

uint32_t
gb_index_find(struct gb_index *index, const gb_res *need,
    const struct gb_scorer *scorer, const struct gb_filter *filter)
{
	struct search s = {index, need, scorer, filter, GB_NONE, 0, 0};

	/* Work without need of an accelerator goes to a worker with a free one
	 * only if no other worker fits. */
	if (need->accel == 0)
		search_class(&s, 0);
	if (s.best == GB_NONE)
		search_class(&s, 1);
	return s.best;
}

size_t
gb_index_memory(const struct gb_index *index)
{
	const struct cell *cell = &index->cells[0][0][0];
	size_t size =
	    sizeof(*index) + index->entry_count * sizeof(struct entry);
	size_t i;

	for (i = 0; i < (size_t)CLASSES * CPU_STEPS * MEM_STEPS; i++)
		size += cell[i].size * sizeof(uint32_t);
	return size;
}
