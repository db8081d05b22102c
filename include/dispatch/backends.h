/** @file
 * Backend servers as this VM sees them, and the choice of one for a request.
 * No I/O; time and random numbers are handed in.
 */
#ifndef DISPATCH_BACKENDS_H
#define DISPATCH_BACKENDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "common/rng.h"
#include "dispatch/backend_entry.h"
#include "dispatch/residency.h"
#include "dispatch/speed.h"

enum {
	BACKEND_TRIED_MAX = 8, /**< servers that one request may be sent to */
};

/** A server. It is kept while requests run there. */
struct backend {
	UT_hash_handle hh;      /**< by entry.id */
	UT_hash_handle hh_hash; /**< by hash */
	struct backend_entry entry;
	char region[NAME_BYTES];
	bool listed;            /**< the platform's list has it, not draining */
	uint32_t running;       /**< requests of this VM */
	uint32_t remote;        /**< requests of other VMs, as last told */
	int64_t avoid_until_us; /**< after failures to connect */
	uint32_t failures;      /**< in a row */
	uint64_t hash;          /**< of entry.id */
	double slowness;        /**< times that of its service's servers */
	double answer_us;       /**< time of a plain answer; 0: not known */
};

/** What is learned of the servers of one service. */
struct backend_service {
	UT_hash_handle hh; /**< by service */
	char service[NAME_BYTES];
	struct speed speed;
};

/** A part of a prompt; equal ids stand for equal tokens. */
struct prompt_part {
	uint64_t id;
	uint32_t tokens;
};

/** How a whole stream went. */
struct backend_stream {
	uint64_t uncached_tokens; /**< of the prompt, as expected */
	double load;              /**< requests there when it was sent */
	int64_t first_us;         /**< from sending to the first event */
	int64_t rest_us;          /**< from there to the end */
	uint64_t tokens;          /**< after the first event */
};

struct backends {
	struct backend *by_id;         /**< uthash */
	struct backend *by_hash;       /**< uthash */
	struct backend_service *pools; /**< uthash */
	struct residency residency;
	char region[NAME_BYTES];         /**< of this VM */
	char failure_domain[NAME_BYTES]; /**< of this VM */
	struct rng rng;
};

/** What a request needs of a server. */
struct backend_request {
	const char *service;
	const char *preferred; /**< server that has its cache, or "" */
	bool streams;
	const struct prompt_part *parts; /**< of the prompt, in order */
	size_t part_count;
	uint64_t prompt_tokens;
	uint64_t max_tokens;
	/** Servers that must not be chosen. */
	const char (*tried)[NAME_BYTES];
	size_t tried_count;
};

void backends_init(struct backends *backends, const char *region,
    const char *failure_domain, uint64_t seed);
void backends_reset(struct backends *backends);
struct backend *backends_find(const struct backends *backends, const char *id);
/** Takes what the list says of a server. region: of its failure domain.
 * Returns whether that changes where requests may go. */
bool backends_update(struct backends *backends,
    const struct backend_entry *entry, const char *region);
/** The list has the server no longer, or what it says names none. Returns
 * whether it was in use. */
bool backends_remove(struct backends *backends, const char *id);
/** Returns the server that should run a request; NULL: none may. */
struct backend *backends_choose(struct backends *backends,
    const struct backend_request *request, int64_t now_us);
/** Forgets what other VMs run at the servers. */
void backends_clear_remote(struct backends *backends);
/** Another VM runs requests at a server, named by its hash. */
void
backends_add_remote(struct backends *backends, uint64_t hash, uint32_t running);
/** Returns whether a service has a server that may take requests. */
bool
backends_has_available(const struct backends *backends, const char *service);

/** Returns the prompt tokens that a server would have to read. */
uint64_t backend_uncached_tokens(const struct backends *backends,
    const struct backend *backend, const struct backend_request *request);

/** A request is sent there. */
void backend_request_started(struct backends *backends, struct backend *backend,
    const struct backend_request *request, int64_t now_us);
/** A request has ended there; the server is forgotten if it is not listed and
 * runs nothing more. */
void backend_request_ended(struct backends *backends, struct backend *backend);
/** It could not be connected to, or broke a connection. */
void backend_connection_failed(struct backend *backend, int64_t now_us);
/** It gave a whole plain answer. */
void backend_response_completed(struct backend *backend, int64_t elapsed_us);
/** It gave a whole stream. */
void backend_stream_completed(struct backends *backends,
    struct backend *backend, const struct backend_stream *stream);
/** Returns the requests that are believed to run there. */
double backend_load(const struct backend *backend);

#endif
