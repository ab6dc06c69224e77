/**
 * @file fuzz_cells.h
 * Runs a simulated cell with operations and faults that are read from bytes.
 */
#ifndef FUZZ_CELLS_H
#define FUZZ_CELLS_H

#include <stddef.h>
#include <stdint.h>

struct cells;

/** Run the cell until its shards have owners, and apply the documents of the
 * requests and of the first four kinds of jobs of cells.h. */
void fuzz_cells_documents(struct cells *);
/** Apply a document of the team of the tests; rest are its JSON members after
 * team and service. */
void fuzz_cells_document(struct cells *, const char *service, const char *rest);
/** Run a cell on the bytes, of which the first is also its seed.  Returns 1
 * when no guarantee was violated, else 0 with the text of the first violation.
 */
int fuzz_cells_run(
    const uint8_t *, size_t, char *violation, size_t violation_size);

#endif
