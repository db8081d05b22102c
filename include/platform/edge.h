/** @file
 * Calls of callers and of the platform at an entry VM that are about the VM
 * itself: which address to use, and whether it is ready.
 */
#ifndef PLATFORM_EDGE_H
#define PLATFORM_EDGE_H

#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "h1/message.h"
#include "record/record.h"

enum edge_call {
	EDGE_UNKNOWN,
	EDGE_READINESS,
	EDGE_RESOLVE, /**< which VMs' addresses to use */
};

struct edge_resolve {
	char host[NAME_BYTES];
	char region[NAME_BYTES];         /**< of the caller */
	char failure_domain[NAME_BYTES]; /**< of the caller */
};

enum edge_call platform_edge_classify(const struct h1_head *head);
/** Reads a resolve call; what is absent becomes "". */
void platform_edge_decode_resolve(
    const struct h1_head *head, struct edge_resolve *resolve);
/** Writes the answer to a resolve call. */
void platform_edge_encode_resolve(struct buf *out, const char *const *addresses,
    size_t count, int64_t lifetime_us);

#endif
