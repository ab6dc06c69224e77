/**
 * @file counter.c
 * Counters and latency histograms, printed in the Prometheus text format, and
 * the growing text buffer that they are printed into.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "gooseberry.h"

void
gb_text_add(struct gb_text *text, const char *fmt, ...)
{
	va_list ap;
	va_list ap_copy;
	int n;

	va_start(ap, fmt);
	va_copy(ap_copy, ap);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (text->len + (size_t)n + 1 > text->size) {
		text->size = (text->len + (size_t)n + 1) * 2;
		text->data = gb_realloc(text->data, text->size);
	}
	vsnprintf(text->data + text->len, (size_t)n + 1, fmt, ap_copy);
	va_end(ap_copy);
	text->len += (size_t)n;
}

void
gb_text_free(struct gb_text *text)
{
	free(text->data);
	text->data = NULL;
	text->len = 0;
	text->size = 0;
}

/** Bucket of a duration; bucket i counts durations up to 2^i microseconds. */
static unsigned int
histogram_bucket(gb_time us)
{
	unsigned int bucket = 0;

	while (bucket + 1 < GB_HISTOGRAM_BUCKETS && us > ((gb_time)1 << bucket))
		bucket++;
	return bucket;
}

void
gb_histogram_add(struct gb_histogram *h, gb_time us)
{
	if (us < 0)
		us = 0;
	h->count++;
	h->sum += (uint64_t)us;
	h->bucket[histogram_bucket(us)]++;
}

gb_time
gb_histogram_quantile(const struct gb_histogram *h, unsigned int per_mille)
{
	uint64_t target = (h->count * per_mille + 999) / 1000;
	uint64_t cumulative = 0;
	unsigned int i;

	for (i = 0; i < GB_HISTOGRAM_BUCKETS; i++) {
		cumulative += h->bucket[i];
		if (cumulative >= target)
			return (gb_time)1 << i;
	}
	return (gb_time)1 << (GB_HISTOGRAM_BUCKETS - 1);
}

void
gb_counter_print(struct gb_text *out, const struct gb_counter *c, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		gb_text_add(out, "# HELP %s %s\n%s %" PRIu64 "\n", c[i].name,
		    c[i].help, c[i].name, c[i].value);
	}
}

void
gb_histogram_print(struct gb_text *out, const char *name, const char *help,
    const struct gb_histogram *h)
{
	uint64_t cumulative = 0;
	unsigned int i;

	gb_text_add(
	    out, "# HELP %s %s\n# TYPE %s histogram\n", name, help, name);
	for (i = 0; i < GB_HISTOGRAM_BUCKETS; i++) {
		cumulative += h->bucket[i];
		gb_text_add(out, "%s_bucket{le=\"%" PRIu64 "\"} %" PRIu64 "\n",
		    name, (uint64_t)1 << i, cumulative);
	}
	gb_text_add(
	    out, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n", name, h->count);
	gb_text_add(out, "%s_sum %" PRIu64 "\n%s_count %" PRIu64 "\n", name,
	    h->sum, name, h->count);
}
