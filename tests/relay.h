/**
 * @file relay.h
 * A TCP relay whose server has a link of limited bandwidth.
 */
#ifndef TESTS_RELAY_H
#define TESTS_RELAY_H

#include <uv.h>

struct relay;

/** Listen on one address and forward each connection to another one.  All bytes
 * from the server share the given bandwidth in bytes per second; those to the
 * server are not limited. */
struct relay *relay_new(
    uv_loop_t *, const char *listen, const char *server, uint64_t bytes_per_s);
/** Forward no more bytes from the server. */
void relay_stop(struct relay *);
/** Close the relay and its connections. */
void relay_close(struct relay *);

#endif
