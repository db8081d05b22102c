/** @file
 * Which parts of prompts the caches of backend servers are believed to hold.
 */
#ifndef DISPATCH_RESIDENCY_H
#define DISPATCH_RESIDENCY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct residency_entry;

/** Zeroed: nothing is known. */
struct residency {
	struct residency_entry *entries; /**< uthash by part and server */
};

/** A part that several requests begin with, as gateways tell each other. */
struct residency_shared_part {
	uint64_t part;
	uint64_t server; /**< hash of its id */
	uint32_t tokens;
};

void residency_reset(struct residency *residency);
/** A server reads a part, or holds it. shared: other requests use it too. */
void residency_add(struct residency *residency, uint64_t part, uint64_t server,
    uint32_t tokens, bool shared, int64_t now_us);
/** Returns how many tokens of a part a server is believed to hold. */
uint32_t residency_tokens(
    const struct residency *residency, uint64_t part, uint64_t server);
/** A server has started again, or is gone. */
void residency_forget_server(struct residency *residency, uint64_t server);
/** Forgets what was not used for long. */
void residency_expire(struct residency *residency, int64_t now_us);
/** Lists shared parts; returns how many there are, at most max. */
size_t residency_list_shared(const struct residency *residency,
    struct residency_shared_part *list, size_t max);

#endif
