/**
 * @file page.c
 * Pages of what is stored, as an owner reads them.
 *
 * Load: a link that takes seconds for what is stored.  The pages that are asked
 * for at once are as many and as large as it takes in a moment, so that no
 * answer comes too late to count, and what members ask meanwhile is answered.
 */
#include <stdio.h>
#include <stdlib.h>

#include "state.h"

/** Rows read at once; the store returns at most 500. */
#define PAGE_ROWS 500
/** The pages that are out take the link for this long, and each is waited for
 * ten times that, since its rows may be larger than those before. */
#define PAGES_TIME (150 * GB_MSEC)
#define PAGE_PATIENCE (10 * PAGES_TIME)
/** A page that got no answer is asked for so often, where the link is what it
 * waits for. */
#define PAGE_TRIES 4
/** Pages that are out at once, two for each part, and rows of each, so that few
 * bytes are spent beside them. */
#define PAGES_MOST (2 * GB_POOL_PARTITIONS)
#define PAGE_ROWS_LEAST 4
/** Bytes of a row before any was read, and those beside its value, which is
 * sent in base64. */
#define ROW_BYTES 1500
#define ROW_HEAD 80

/** A page that is to be read. */
struct pool_page {
	TAILQ_ENTRY(pool_page) next;
	uint64_t call; /**< that is out for it */
	enum pool_call_kind kind;
	uint32_t partition;
	uint32_t round; /**< of reading the part */
	enum gb_pool_table table;
	char from[GB_KEY_MAX + 1];
	char to[GB_KEY_MAX + 1];
	unsigned int tries;
};

static bool
page_of_inbox(const struct pool_page *page)
{
	return page->kind == POOL_CALL_INBOX_LIST ||
	       page->kind == POOL_CALL_INBOX_FLOW;
}

void
pool_page_free(struct gb_pool *pool, struct pool_page *page)
{
	if (page != NULL && page_of_inbox(page))
		pool->partitions[page->partition].inbox_in_flight--;
	free(page);
}

/** Bytes that the link takes in a moment, 0: it does not matter. */
static uint64_t
pages_bytes(const struct gb_pool *pool)
{
	return pool_pace_rate(pool) * PAGES_TIME / GB_SEC;
}

static uint32_t
row_bytes(const struct gb_pool *pool, enum gb_pool_table table)
{
	return pool->row_bytes[table] > 0 ? pool->row_bytes[table] : ROW_BYTES;
}

/** Pages that may be out at once: as many as the link takes with a few rows
 * each, and no more than all parts ask for. */
static uint32_t
pages_most(const struct gb_pool *pool)
{
	uint64_t least =
	    (uint64_t)PAGE_ROWS_LEAST * row_bytes(pool, GB_POOL_FLOWS);
	uint64_t most = pages_bytes(pool) / least;

	if (most > PAGES_MOST)
		return PAGES_MOST;
	return most == 0 ? 1 : (uint32_t)most;
}

/** Whether reading is what fills the link: it does not take the first rows of
 * all parts at once. */
static bool
pages_paced(const struct gb_pool *pool)
{
	return pages_bytes(pool) > 0 && pages_most(pool) < PAGES_MOST;
}

static uint32_t
page_rows(const struct gb_pool *pool, enum gb_pool_table table)
{
	uint64_t rows =
	    pages_bytes(pool) / pages_most(pool) / row_bytes(pool, table);

	if (!pages_paced(pool) || rows > PAGE_ROWS)
		return PAGE_ROWS;
	return rows == 0 ? 1 : (uint32_t)rows;
}

static void
page_send(struct gb_pool *pool, struct pool_page *page)
{
	struct pool_call *call = pool_call_new(pool, page->kind);
	struct gb_pool_read read = {
	    page->partition, page->table, page->from, page->to, 0, 0};

	read.limit = page->kind == POOL_CALL_LOAD_WORKERS ? POOL_SET_ROWS
		     : page->kind == POOL_CALL_INBOX_FLOW
			 ? 1
			 : page_rows(pool, page->table);
	if (pages_paced(pool))
		read.patience = PAGE_PATIENCE;
	call->partition = page->partition;
	call->round = page->round;
	page->call = call->id;
	page->tries++;
	TAILQ_INSERT_TAIL(&pool->pages_sent, page, next);
	pool->pages_in_flight++;
	pool->stats.reads++;
	pool->ops.read(pool->ops.data, call->id, &read);
}

void
pool_pages_next(struct gb_pool *pool)
{
	struct pool_page *page;

	while (
	    (page = TAILQ_FIRST(&pool->pages)) != NULL &&
	    (!pages_paced(pool) || pool->pages_in_flight < pages_most(pool))) {
		TAILQ_REMOVE(&pool->pages, page, next);
		if (page->round == pool->partitions[page->partition].round)
			page_send(pool, page);
		else
			pool_page_free(pool, page);
	}
}

void
pool_page_add(struct gb_pool *pool, enum pool_call_kind kind,
    uint32_t partition, enum gb_pool_table table, const char *from,
    const char *to)
{
	struct pool_page *page = gb_calloc(1, sizeof(*page));

	page->kind = kind;
	page->partition = partition;
	page->round = pool->partitions[partition].round;
	page->table = table;
	snprintf(page->from, sizeof(page->from), "%s", from);
	snprintf(page->to, sizeof(page->to), "%s", to);
	if (page_of_inbox(page))
		pool->partitions[partition].inbox_in_flight++;
	TAILQ_INSERT_TAIL(&pool->pages, page, next);
}

struct pool_page *
pool_page_answered(struct gb_pool *pool, const struct pool_call *call)
{
	struct pool_page *page;

	TAILQ_FOREACH(page, &pool->pages_sent, next)
	{
		if (page->call == call->id)
			break;
	}
	if (page == NULL)
		return NULL;
	TAILQ_REMOVE(&pool->pages_sent, page, next);
	pool->pages_in_flight--;
	return page;
}

bool
pool_page_retry(struct gb_pool *pool, struct pool_page *page,
    const struct gb_pool_read_res *res)
{
	if (res->status != GB_STORE_UNKNOWN || !pages_paced(pool) ||
	    page->tries >= PAGE_TRIES)
		return false;
	pool->row_bytes[page->table] = 2 * row_bytes(pool, page->table);
	page_send(pool, page);
	return true;
}

void
pool_page_learn(struct gb_pool *pool, enum gb_pool_table table,
    const struct gb_pool_read_res *res)
{
	uint64_t bytes = 0;
	size_t i;

	if (res->row_count == 0)
		return;
	for (i = 0; i < res->row_count; i++)
		bytes += ROW_HEAD + res->rows[i].value.gb_body_len * 4 / 3;
	pool->row_bytes[table] = (uint32_t)(bytes / res->row_count);
}

static void
pages_free(struct gb_pool *pool, struct pool_pages *pages)
{
	struct pool_page *page;

	while ((page = TAILQ_FIRST(pages)) != NULL) {
		TAILQ_REMOVE(pages, page, next);
		pool_page_free(pool, page);
	}
}

void
pool_pages_reset(struct gb_pool *pool)
{
	pages_free(pool, &pool->pages);
	pages_free(pool, &pool->pages_sent);
	pool->pages_in_flight = 0;
}
