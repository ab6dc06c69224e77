/**
 * @file page.c
 * Reads the stored tables in pages while an owner takes over, and the inbox
 * later.
 *
 * On a slow link, loading takes seconds.  The number and size of the pages
 * requested at once depend on what the link can carry in a short time, so that
 * no answer comes after its timeout, and members are answered meanwhile.
 */
#include <stdio.h>
#include <stdlib.h>

#include "state.h"

/** Maximum number of rows in a page; the store returns at most 500. */
#define PAGE_ROWS_MAX 500
/** Time for which the pages in flight may keep the link busy. */
#define PAGES_LINK_TIME (150 * GB_MSEC)
/** Timeout of a page on a slow link: the rows may be larger than earlier
 * ones. */
#define PAGE_TIMEOUT (10 * PAGES_LINK_TIME)
/** Maximum number of requests for a page without an answer, where the link may
 * be the cause. */
#define PAGE_TRIES_MAX 4
/** Maximum number of pages in flight, two for each partition. */
#define PAGES_MAX (2 * GB_POOL_PARTITIONS)
/** Number of rows of each page for which the link must have capacity before
 * more pages are requested at once: with fewer rows, headers would be a large
 * part of what is sent. */
#define PAGE_ROWS_MIN 4
/** Size of a row in bytes that is assumed before any was read. */
#define ROW_BYTES_DEFAULT 1500
/** Bytes of a row besides its value, which is sent in base64. */
#define ROW_OVERHEAD_BYTES 80

/** A page to read. */
struct pool_page {
	TAILQ_ENTRY(pool_page) next;
	uint64_t call; /**< call in flight for the page */
	enum pool_call_kind kind;
	uint32_t partition;
	uint32_t round; /**< of loading the partition */
	enum gb_pool_table table;
	char from[GB_KEY_MAX + 1];
	char to[GB_KEY_MAX + 1];
	unsigned int tries;
};

static bool
page_is_inbox(const struct pool_page *page)
{
	return page->kind == POOL_CALL_INBOX_LIST ||
	       page->kind == POOL_CALL_INBOX_FLOW;
}

void
pool_page_free(struct gb_pool *pool, struct pool_page *page)
{
	if (page != NULL && page_is_inbox(page))
		pool->partitions[page->partition].inbox_in_flight--;
	free(page);
}

/** Bytes that the link carries in PAGES_LINK_TIME, 0: no limit. */
static uint64_t
pages_link_bytes(const struct gb_pool *pool)
{
	return pool_pace_bandwidth(pool) * PAGES_LINK_TIME / GB_SEC;
}

static uint32_t
row_bytes(const struct gb_pool *pool, enum gb_pool_table table)
{
	return pool->row_bytes[table] > 0 ? pool->row_bytes[table]
					  : ROW_BYTES_DEFAULT;
}

/** Maximum number of pages in flight: as many as the link carries with a few
 * rows each, and no more than all partitions request. */
static uint32_t
pages_max(const struct gb_pool *pool)
{
	uint64_t min_bytes =
	    (uint64_t)PAGE_ROWS_MIN * row_bytes(pool, GB_POOL_FLOWS);
	uint64_t count = pages_link_bytes(pool) / min_bytes;

	if (count > PAGES_MAX)
		return PAGES_MAX;
	return count == 0 ? 1 : (uint32_t)count;
}

/** Whether reads must wait for each other: the link can't carry PAGES_MAX pages
 * at once. */
static bool
pages_paced(const struct gb_pool *pool)
{
	return pages_link_bytes(pool) > 0 && pages_max(pool) < PAGES_MAX;
}

bool
gb_pool_loads_by_pages(const struct gb_pool *pool)
{
	return pages_paced(pool);
}

/** Maximum number of rows to request in a page. */
static uint32_t
page_rows(const struct gb_pool *pool, enum gb_pool_table table)
{
	uint64_t rows =
	    pages_link_bytes(pool) / pages_max(pool) / row_bytes(pool, table);

	if (!pages_paced(pool) || rows > PAGE_ROWS_MAX)
		return PAGE_ROWS_MAX;
	return rows == 0 ? 1 : (uint32_t)rows;
}

static void
page_send(struct gb_pool *pool, struct pool_page *page)
{
	struct pool_call *call = pool_call_new(pool, page->kind);
	struct gb_pool_read read = {
	    page->partition, page->table, page->from, page->to, 0, 0};

	read.limit = page->kind == POOL_CALL_LOAD_WORKERS ? POOL_SET_ROWS
		     : page->kind == POOL_CALL_INBOX_FLOW ||
			     page->kind == POOL_CALL_LOAD_LEARNED
			 ? 1
			 : page_rows(pool, page->table);
	if (pages_paced(pool))
		read.min_timeout = PAGE_TIMEOUT;
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
pool_pages_send(struct gb_pool *pool)
{
	struct pool_page *page;

	while (
	    (page = TAILQ_FIRST(&pool->pages)) != NULL &&
	    (!pages_paced(pool) || pool->pages_in_flight < pages_max(pool))) {
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
	if (page_is_inbox(page))
		pool->partitions[partition].inbox_in_flight++;
	TAILQ_INSERT_TAIL(&pool->pages, page, next);
}

struct pool_page *
pool_page_remove_sent(struct gb_pool *pool, const struct pool_call *call)
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
	    page->tries >= PAGE_TRIES_MAX)
		return false;
	pool->row_bytes[page->table] = 2 * row_bytes(pool, page->table);
	page_send(pool, page);
	return true;
}

void
pool_page_update_row_size(struct gb_pool *pool, enum gb_pool_table table,
    const struct gb_pool_read_res *res)
{
	uint64_t bytes = 0;
	size_t i;

	if (res->row_count == 0)
		return;
	for (i = 0; i < res->row_count; i++)
		bytes +=
		    ROW_OVERHEAD_BYTES + res->rows[i].value.gb_body_len * 4 / 3;
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
