/**
 * @file store_model.h
 * In-memory model of the platform's table service for tests and the demo: rows
 * with versions, transactions with conditions, scans in key order.
 */
#ifndef STORE_MODEL_H
#define STORE_MODEL_H

#include "gooseberry.h"

struct store_model;

struct store_model *store_model_new(void);
void store_model_free(struct store_model *);
/** Apply all puts if all conditions hold; otherwise apply none of them, and set
 * the status to GB_STORE_CONFLICT. */
void store_model_txn(struct store_model *, const gb_txn *, gb_txn_res *);
/** Read the rows whose keys have a prefix and are greater than `after`, at most
 * `limit`.  Release the result with xdr_free. */
void store_model_scan(
    const struct store_model *, const gb_scan *, gb_scan_res *);
/** Number of transactions so far, including those that failed. */
uint64_t store_model_txns(const struct store_model *);
/** Number of rows. */
uint64_t store_model_rows(const struct store_model *);

#endif
