/**
 * @file relay.h
 * A TCP relay whose server has a link of limited bandwidth.
 */
#ifndef TESTS_RELAY_H
#define TESTS_RELAY_H

#include <uv.h>

/** Listen on one address and forward each connection to another one.  All bytes
 * from the server share the given bandwidth in bytes per second; those to the
 * server are not limited.  The relay lasts until the process ends. */
void relay_new(
    uv_loop_t *, const char *listen, const char *server, uint64_t bytes_per_s);

#endif
