/** @file
 * Estimate of which prompt parts the KV caches of backend servers hold.
 */
#ifndef DISPATCH_RESIDENCY_H
#define DISPATCH_RESIDENCY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct residency_entry;

/** Set of prompt parts on servers; empty when zeroed. */
struct residency {
	struct residency_entry *entries; /**< uthash by part and server */
};

/** A prompt part that several requests share and that a server holds. Gateways
 * send these to each other. */
struct residency_shared_prefix {
	uint64_t prefix_hash;
	uint64_t server_hash; /**< hash of the server's id */
	uint32_t tokens;
};

void residency_reset(struct residency *residency);
/** Records that a server reads or holds a part. shared: whether other requests
 * use the part too. */
void residency_add(struct residency *residency, uint64_t part, uint64_t server,
    uint32_t tokens, bool shared, int64_t now_us);
/** Returns how many tokens of a part a server is expected to hold. */
uint32_t residency_tokens(
    const struct residency *residency, uint64_t part, uint64_t server);
/** Removes all parts of a server that has restarted or is gone. */
void residency_forget_server(struct residency *residency, uint64_t server);
/** Removes parts that were not used within the retention time. */
void residency_expire(struct residency *residency, int64_t now_us);
/** Fills list with shared parts. Returns their number, at most max. */
size_t residency_list_shared(const struct residency *residency,
    struct residency_shared_prefix *list, size_t max);

#endif
