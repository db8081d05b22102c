/** @file
 * Backend servers as this VM knows them, and the choice of one for a request.
 * No I/O; callers pass the time, and the seed for random numbers.
 */
#ifndef DISPATCH_BACKENDS_H
#define DISPATCH_BACKENDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "common/rng.h"
#include "dispatch/affinity.h"
#include "dispatch/backend_entry.h"
#include "dispatch/leaving.h"
#include "dispatch/limits.h"
#include "dispatch/permits.h"
#include "dispatch/residency.h"
#include "dispatch/speed.h"

enum {
	BACKEND_TRIED_MAX = 8, /**< servers that one request may try */
	/** Measurements kept for other VMs; further ones are dropped. */
	BACKEND_MEASUREMENTS_MAX = 16,
};

/** A backend server. A server that the list no longer has is kept until its
 * last request has ended. */
struct backend {
	UT_hash_handle hh;      /**< by entry.id */
	UT_hash_handle hh_hash; /**< by hash */
	struct backend_entry entry;
	struct backend_service *service; /**< that of the entry */
	char region[NAME_BYTES];
	bool accepts_requests; /**< in the platform's list and not draining */
	bool leaving;     /**< the process of the entry said that it leaves */
	uint32_t running; /**< running requests of this VM */
	uint32_t remote_running; /**< running requests of the other VMs of this
				    failure domain, as they reported last */
	/** Running requests of other failure domains, as far as known. */
	double other_domains_running;
	int64_t avoid_until_us; /**< end of the pause after a failure */
	uint32_t failures;      /**< consecutive connection failures */
	uint64_t hash;          /**< hash of entry.id */
	uint64_t digest;        /**< part of backends.digest */
	/** Fingerprint of the entry's text in the list; 0: not known. */
	uint64_t fingerprint;
	struct server_speed speed;
	/** Mean time of a non-streamed response; 0 if unknown. */
	double mean_response_us;
	/** Expected cost of the request that backends_choose() handles. */
	double cost_us;
};

/** Performance of the servers of one service, learned from responses. */
struct backend_service {
	UT_hash_handle hh; /**< by service */
	char service[NAME_BYTES];
	size_t number; /**< position among the services in fleet_load_fold() */
	struct speed speed;
	/** Mean time of a non-streamed response; 0 if unknown. */
	double mean_response_us;
	struct return_schedule returns;
};

/** A part of a prompt. Parts with equal ids have equal tokens. */
struct prompt_part {
	uint64_t id;
	uint32_t tokens;
};

/** Timing of a completed stream. */
struct backend_stream {
	uint64_t uncached_tokens; /**< prompt tokens expected not to be in the
				     cache */
	double load; /**< requests on the server when this one was sent */
	int64_t first_event_us; /**< time from sending to the first event */
	int64_t generation_us;  /**< time from the first event to the end */
	uint64_t tokens;        /**< tokens after the first event */
	int64_t ended_us;       /**< when it ended */
};

/** Timing of a complete response that is not streamed. */
struct backend_response_time {
	double load; /**< as in struct backend_stream */
	int64_t elapsed_us;
	int64_t ended_us;
};

/** What a response tells about its server's speed. Times are those of VMs in
 * one failure domain, less the round trip. */
struct backend_measurement {
	uint64_t server;          /**< hash of its id */
	uint32_t load;            /**< requests on it, as known at sending */
	uint64_t uncached_tokens; /**< of a stream's prompt */
	uint64_t first_us;        /**< until a stream's first event; 0: none */
	uint64_t token_ns;        /**< time per token of a stream; 0: none */
	uint64_t response_us;     /**< of a plain response; 0: none */
};

/** All known servers. */
struct backends {
	struct backend *by_id;            /**< uthash */
	struct backend *by_hash;          /**< uthash */
	struct backend_service *services; /**< uthash */
	/** Sum of hashes of all listed entries: equal for equal lists. */
	uint64_t digest;
	struct residency residency;
	struct affinity affinity;
	struct leaving leaving;
	struct limits limits;
	char region[NAME_BYTES];         /**< region of this VM */
	char failure_domain[NAME_BYTES]; /**< failure domain of this VM */
	struct rng rng;
	/** Measurements of this VM since they were last taken. */
	struct backend_measurement measurements[BACKEND_MEASUREMENTS_MAX];
	size_t measurement_count;
};

/** Properties of a request that decide which server runs it. */
struct backend_request {
	const char *service;
	const char *preferred; /**< id of the server with its KV cache, or "" */
	bool is_stream;
	const struct prompt_part *parts; /**< parts of the prompt, in order */
	size_t part_count;
	uint64_t prompt_tokens;
	uint64_t max_tokens;
	struct affinity_target affinity;
	/** Servers that limit their requests may be chosen. */
	bool permits_allowed;
	/** Longest wait for a permit of a server that limits its requests. */
	int64_t max_permit_wait_us;
	/** Ids of servers that must not be chosen. */
	const char (*excluded_servers)[NAME_BYTES];
	size_t excluded_count;
};

void backends_init(struct backends *backends, const char *region,
    const char *failure_domain, uint64_t seed);
void backends_reset(struct backends *backends);
struct backend *backends_find(const struct backends *backends, const char *id);
/** Returns the server with this hash of its id, or NULL. */
struct backend *
backends_find_hash(const struct backends *backends, uint64_t hash);
/** Adds or updates a server from its entry in the platform's list. region: the
 * region of its failure domain. Returns whether the change affects which
 * servers requests may be sent to. */
bool backends_update(struct backends *backends,
    const struct backend_entry *entry, const char *region);
/** Removes a server whose entry is gone from the list or is invalid. Returns
 * whether the server accepted requests. */
bool backends_remove(struct backends *backends, const char *id);
/** Records that a server said in a response that it leaves. From then on it
 * gets no request, whatever its entry in the list says, until it has restarted.
 * started_wall_ms: start time of the process that responded. Returns false if
 * this was known. */
bool backends_mark_leaving(
    struct backends *backends, const char *id, int64_t started_wall_ms);
/** Returns a server for a request, at random one of those whose expected cost
 * is near the lowest. Servers in the pause after a failure are chosen only if
 * there is no other, and those without a permit in time are not chosen. Returns
 * NULL if no server is available. */
struct backend *backends_choose(struct backends *backends,
    const struct backend_request *request, int64_t now_us);
/** Returns the expected cost of a request on a server as a time, by which
 * backends_choose() compares servers, without delays for permits. */
double backend_expected_cost_us(const struct backends *backends,
    const struct backend *backend, const struct backend_request *request,
    int64_t now_us);
/** Returns the limit on requests that a server has stated, or NULL. */
struct limit *
backend_limit(const struct backends *backends, const struct backend *backend);
/** Returns after what time a caller should return whose request found no permit
 * in time, or 0 if no available server of the service limits its requests.
 * vm_count: VMs that share the permits. */
int64_t backends_limited_retry_us(struct backends *backends,
    const char *service, size_t vm_count, int64_t now_us);
/** Sets the running requests of other VMs to 0 on all servers. */
void backends_clear_remote(struct backends *backends);
/** Adds requests that another VM runs on the server with this hash. Ignores
 * unknown servers. */
void
backends_add_remote(struct backends *backends, uint64_t hash, uint32_t running);
/** Returns whether a server of a service accepts requests. */
bool backend_is_available(const struct backend *backend, const char *service);
/** Returns whether a service has a server that accepts requests. */
bool
backends_has_available(const struct backends *backends, const char *service);

/** Returns how many prompt tokens a server's KV cache is expected to lack. */
uint64_t backend_uncached_tokens(const struct backends *backends,
    const struct backend *backend, const struct backend_request *request);

/** Finds the homes of the object and route that request->affinity names.
 * request_hash differs between requests. vm_count: live VMs. */
void backends_find_homes(const struct backends *backends,
    struct backend_request *request, uint64_t request_hash, size_t vm_count,
    int64_t now_us);
/** Returns what is to be learned about the object from the response to a
 * request that is about to be sent to a server. */
struct affinity_sample backend_affinity_sample(const struct backends *backends,
    const struct backend *backend, const struct backend_request *request,
    int64_t now_us);

/** Records that a request is sent to a server, which from then on is expected
 * to have its prompt in the KV cache. */
void backend_request_started(struct backends *backends, struct backend *backend,
    const struct backend_request *request, int64_t now_us);
/** Records that a request has ended on a server. Frees the server if the list
 * no longer has it and this was its last request. */
void backend_request_ended(struct backends *backends, struct backend *backend);
/** Records that connecting to a server failed, that a connection broke, or that
 * the server responded with an error of its own, and avoids the server for some
 * time. */
void backend_failed(struct backend *backend, int64_t now_us);
/** Records a complete non-streamed response. */
void backend_response_completed(struct backends *backends,
    struct backend *backend, const struct backend_response_time *response);
/** Records a complete stream. */
void backend_stream_completed(struct backends *backends,
    struct backend *backend, const struct backend_stream *stream);
/** Learns what another VM of this failure domain measured. Ignores unknown
 * servers. */
void backends_learn(struct backends *backends,
    const struct backend_measurement *measurement, int64_t now_us);
/** Returns the number of requests that run on a server, of this VM and, as last
 * reported, of others. */
double backend_load(const struct backend *backend);

#endif
