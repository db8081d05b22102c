/** @file
 * Set of backend servers that announced in a response that they leave. An entry
 * stands for one start of a server, not for its id or address.
 */
#ifndef DISPATCH_LEAVING_H
#define DISPATCH_LEAVING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct leaving_entry;

/** Empty when zeroed. */
struct leaving {
	struct leaving_entry *entries; /**< uthash, in the order of addition */
};

void leaving_reset(struct leaving *leaving);
/** Adds a server by the hash of its id and its start time. Drops the oldest
 * entry beyond a limit. Returns false if the server is in the set already. */
bool
leaving_add(struct leaving *leaving, uint64_t server, int64_t started_wall_ms);
bool leaving_contains(
    const struct leaving *leaving, uint64_t server, int64_t started_wall_ms);

#endif
