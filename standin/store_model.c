/**
 * @file store_model.c
 * In-memory model of the platform's table service.
 */
#include <stdlib.h>
#include <string.h>

#include "store_model.h"

struct store_model {
	gb_row **rows; /**< in key order */
	size_t count;
	size_t size;   /**< allocated rows */
	uint64_t vers; /**< newest version */
	uint64_t txns;
};

struct store_model *
store_model_new(void)
{
	return gb_calloc(1, sizeof(struct store_model));
}

static void
row_free(gb_row *row)
{
	xdr_free((xdrproc_t)xdr_gb_row, (char *)row);
	free(row);
}

void
store_model_free(struct store_model *m)
{
	size_t i;

	for (i = 0; i < m->count; i++)
		row_free(m->rows[i]);
	free(m->rows);
	free(m);
}

/** Index of the first row whose key is not less than the given one. */
static size_t
row_index(const struct store_model *m, const char *key)
{
	size_t low = 0;
	size_t high = m->count;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (strcmp(m->rows[mid]->key, key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static bool
row_at(const struct store_model *m, size_t at, const char *key)
{
	return at < m->count && strcmp(m->rows[at]->key, key) == 0;
}

static uint64_t
row_version(const struct store_model *m, const char *key)
{
	size_t at = row_index(m, key);

	return row_at(m, at, key) ? m->rows[at]->vers : 0;
}

static void
row_remove(struct store_model *m, const char *key)
{
	size_t at = row_index(m, key);

	if (!row_at(m, at, key))
		return;
	row_free(m->rows[at]);
	m->count--;
	memmove(
	    &m->rows[at], &m->rows[at + 1], (m->count - at) * sizeof(gb_row *));
}

static void
row_put(struct store_model *m, const gb_put *put)
{
	size_t at = row_index(m, put->key);
	gb_row *row;

	if (!row_at(m, at, put->key)) {
		if (m->count == m->size) {
			m->size = m->size * 2 + 64;
			m->rows =
			    gb_realloc(m->rows, m->size * sizeof(gb_row *));
		}
		memmove(&m->rows[at + 1], &m->rows[at],
		    (m->count - at) * sizeof(gb_row *));
		m->rows[at] = gb_calloc(1, sizeof(gb_row));
		m->rows[at]->key = gb_strdup(put->key);
		m->count++;
	}
	row = m->rows[at];
	free(row->value.gb_body_val);
	gb_xdr_copy((xdrproc_t)xdr_gb_body, &put->value, &row->value,
	    sizeof(row->value));
	row->vers = m->vers;
}

void
store_model_txn(struct store_model *m, const gb_txn *txn, gb_txn_res *res)
{
	u_int i;

	m->txns++;
	res->vers = 0;
	res->status = GB_STORE_CONFLICT;
	for (i = 0; i < txn->conds.conds_len; i++) {
		const gb_cond *cond = &txn->conds.conds_val[i];

		if (row_version(m, cond->key) != cond->vers)
			return;
	}
	m->vers++;
	for (i = 0; i < txn->puts.puts_len; i++) {
		const gb_put *put = &txn->puts.puts_val[i];

		if (put->remove)
			row_remove(m, put->key);
		else
			row_put(m, put);
	}
	res->status = GB_STORE_OK;
	res->vers = m->vers;
}

void
store_model_scan(
    const struct store_model *m, const gb_scan *scan, gb_scan_res *res)
{
	size_t prefix = strlen(scan->prefix);
	size_t at = row_index(m, scan->prefix);
	size_t after = row_index(m, scan->after);
	u_int n = 0;

	memset(res, 0, sizeof(*res));
	res->status = GB_STORE_OK;
	if (after > at)
		at = after;
	if (row_at(m, at, scan->after))
		at++;
	res->rows.rows_val = gb_calloc(
	    scan->limit < m->count ? scan->limit : m->count, sizeof(gb_row));
	for (; at < m->count; at++) {
		if (strncmp(m->rows[at]->key, scan->prefix, prefix) != 0)
			break;
		if (n == scan->limit) {
			res->more = TRUE;
			break;
		}
		gb_xdr_copy((xdrproc_t)xdr_gb_row, m->rows[at],
		    &res->rows.rows_val[n++], sizeof(gb_row));
	}
	res->rows.rows_len = n;
}

uint64_t
store_model_txns(const struct store_model *m)
{
	return m->txns;
}

uint64_t
store_model_rows(const struct store_model *m)
{
	return m->count;
}
