/**
 * @file rpc_pool.c
 * Pool of clients, one for each address, created on first use.
 */
#include <stdlib.h>

#include <uthash.h>

#include "gooseberry.h"

struct pool_item {
	UT_hash_handle hh;
	char addr[GB_NAME_MAX + 1];
	struct gb_rpc_client *client;
};

struct gb_rpc_pool {
	struct uv_loop_s *loop;
	const struct gb_env *env;
	struct pool_item *items;
};

struct gb_rpc_pool *
gb_rpc_pool_new(struct uv_loop_s *loop, const struct gb_env *env)
{
	struct gb_rpc_pool *pool = gb_calloc(1, sizeof(*pool));

	pool->loop = loop;
	pool->env = env;
	return pool;
}

struct gb_rpc_client *
gb_rpc_pool_get(struct gb_rpc_pool *pool, const char *addr)
{
	struct pool_item *item;

	HASH_FIND_STR(pool->items, addr, item);
	if (item != NULL)
		return item->client;
	item = gb_calloc(1, sizeof(*item));
	snprintf(item->addr, sizeof(item->addr), "%s", addr);
	item->client = gb_rpc_client_new(pool->loop, pool->env, addr);
	HASH_ADD_STR(pool->items, addr, item);
	return item->client;
}

void
gb_rpc_pool_free(struct gb_rpc_pool *pool)
{
	struct pool_item *item;
	struct pool_item *next;

	HASH_ITER(hh, pool->items, item, next)
	{
		HASH_DEL(pool->items, item);
		gb_rpc_client_free(item->client);
		free(item);
	}
	free(pool);
}

size_t
gb_rpc_pool_bytes(const struct gb_rpc_pool *pool)
{
	const struct pool_item *item;
	size_t bytes = 0;

	for (item = pool->items; item != NULL; item = item->hh.next)
		bytes += gb_rpc_client_bytes(item->client);
	return bytes;
}
