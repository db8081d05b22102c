/** @file
 * Requests that an entry VM serves itself: readiness checks of the platform,
 * and callers' queries for the addresses of entry VMs.
 */
#ifndef PLATFORM_EDGE_H
#define PLATFORM_EDGE_H

#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "h1/message.h"
#include "record/record.h"

enum edge_call {
	EDGE_UNKNOWN, /**< neither of the others */
	EDGE_READINESS,
	EDGE_RESOLVE, /**< query for addresses of entry VMs */
};

/** Parameters of a resolve request. */
struct edge_resolve {
	char host[NAME_BYTES];           /**< the query's "name" */
	char region[NAME_BYTES];         /**< the caller's region */
	char failure_domain[NAME_BYTES]; /**< the query's "zone": the caller's
					    failure domain */
};

enum edge_call platform_edge_classify(const struct h1_head *head);
/** Decodes a resolve request; an absent parameter becomes "". */
void platform_edge_decode_resolve(
    const struct h1_head *head, struct edge_resolve *resolve);
/** Appends the JSON response to a resolve request: the addresses, and for how
 * long the caller may use them. */
void platform_edge_encode_resolve(struct buf *out, const char *const *addresses,
    size_t count, int64_t lifetime_us);

#endif
