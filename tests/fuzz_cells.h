/**
 * @file fuzz_cells.h
 * Runs a cell on bytes that stand for what is done to it.
 */
#ifndef FUZZ_CELLS_H
#define FUZZ_CELLS_H

#include <stddef.h>
#include <stdint.h>

struct cells;

/** Let the cell come up and give it the documents of the tests. */
void fuzz_cells_documents(struct cells *);
/** Apply one more document of the tests' team, given without its names. */
void fuzz_cells_document(struct cells *, const char *service, const char *rest);
/** 1 when every promise held; otherwise the first that broke is named. */
int fuzz_cells_run(const uint8_t *, size_t, char *broken, size_t room);

#endif
