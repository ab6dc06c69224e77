/**
 * @file config.c
 * The operator's configuration: queues and services.  There may be thousands of
 * queues, and after each change the queue of every open flow is looked up, so
 * queues are sorted by name.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "pool.h"

struct gb_pool_config *
gb_pool_config_new(size_t queues, size_t services)
{
	struct gb_pool_config *config = gb_calloc(1, sizeof(*config));

	config->refs = 1;
	config->queues = gb_calloc(queues, sizeof(*config->queues));
	config->queue_count = queues;
	config->services = gb_calloc(services, sizeof(*config->services));
	config->service_count = services;
	return config;
}

static int
queue_compare(const void *a, const void *b)
{
	const struct gb_pool_queue *x = a;
	const struct gb_pool_queue *y = b;

	return strcmp(x->name, y->name);
}

void
gb_pool_config_seal(struct gb_pool_config *config)
{
	if (config->queue_count > 1)
		qsort(config->queues, config->queue_count,
		    sizeof(*config->queues), queue_compare);
}

struct gb_pool_config *
gb_pool_config_ref(struct gb_pool_config *config)
{
	config->refs++;
	return config;
}

void
gb_pool_config_unref(struct gb_pool_config *config)
{
	if (config == NULL || --config->refs > 0)
		return;
	free(config->queues);
	free(config->services);
	gb_pool_config_orgs_free(config);
	free(config);
}

const struct gb_pool_queue *
gb_pool_config_queue(const struct gb_pool_config *config, const char *name)
{
	struct gb_pool_queue wanted;

	if (config == NULL)
		return NULL;
	snprintf(wanted.name, sizeof(wanted.name), "%s", name);
	return bsearch(&wanted, config->queues, config->queue_count,
	    sizeof(wanted), queue_compare);
}

bool
gb_pool_config_has_service(
    const struct gb_pool_config *config, const char *service)
{
	size_t i;

	for (i = 0; i < config->service_count; i++) {
		if (strcmp(config->services[i], service) == 0)
			return true;
	}
	for (i = 0; i < config->queue_count; i++) {
		if (strcmp(config->queues[i].service, service) == 0)
			return true;
	}
	return false;
}

const struct gb_pool_queue *
gb_pool_config_route(
    const struct gb_pool_config *config, const char *host, const char *path)
{
	const struct gb_pool_queue *best = NULL;
	const struct gb_pool_queue *queue;
	size_t best_len = 0;
	size_t len;
	size_t i;

	for (i = 0; i < config->queue_count; i++) {
		queue = &config->queues[i];
		len = strlen(queue->prefix);
		if (strcasecmp(queue->host, host) != 0 ||
		    strncmp(path, queue->prefix, len) != 0)
			continue;
		if (best == NULL || len > best_len) {
			best = queue;
			best_len = len;
		}
	}
	return best;
}
