/** @file
 * Urgency that the gateway states to model servers for the turns of programs,
 * by the priority of the request and by what its program needs.
 */
#ifndef GATEWAY_URGENCY_H
#define GATEWAY_URGENCY_H

#include "dispatch/need.h"

struct gateway;
struct gateway_config;
struct request;

enum {
	/** More distinct priorities share the last rank. */
	URGENCY_PRIORITIES_MAX = NEED_LEVELS,
};

/** Priorities that are in use in a configuration, ascending. */
struct urgency_priorities {
	uint64_t version; /**< of the configuration; 0: none */
	uint32_t values[URGENCY_PRIORITIES_MAX];
	uint32_t count;
};

/** State of the urgencies of a gateway. */
struct urgency {
	struct need need;
	struct urgency_priorities priorities;
};

/** Collects the priorities of the streams of a configuration. */
void urgency_collect_priorities(
    struct urgency_priorities *priorities, const struct gateway_config *config);
/** Returns the place of a priority. */
struct need_rank
urgency_rank(const struct urgency_priorities *priorities, uint32_t priority);
/** Returns the urgency of a request that is sent to a server, 0 (first) to 9,
 * or NEED_LEVEL_NONE. */
int urgency_of(struct request *request);
/** Records that all of a request's response has come. */
void urgency_handle_completed(const struct request *request);

#endif
