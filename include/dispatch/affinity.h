/** @file
 * Affinity of objects to servers: which servers are the homes of an object,
 * and how much time a request about it is expected to save on a server. No
 * I/O; callers pass the time. Objects, routes and servers are given as hashes.
 */
#ifndef DISPATCH_AFFINITY_H
#define DISPATCH_AFFINITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Maximum number of homes that are computed for an object. */
	AFFINITY_HOMES_MAX = 32,
};

/** How likely a server is to have handled an object recently. */
enum affinity_class {
	AFFINITY_OTHER, /**< no reason to expect it */
	AFFINITY_HOME,  /**< a home: other VMs may have sent the object there */
	AFFINITY_SEEN,  /**< this VM has sent the object there recently */
	AFFINITY_CLASS_COUNT,
};

/** Which requests are subject to the learned saving. A small part of the
 * requests is used to measure it. */
enum affinity_mode {
	AFFINITY_LEARNED, /**< the learned saving applies */
	AFFINITY_CONTROL, /**< no saving applies: measures the time without */
	AFFINITY_PROBE,   /**< the initial saving applies: detects a gain on a
			     route that had none */
};

/** The object of a request. Zero-initialized: none. */
struct affinity_target {
	uint64_t object; /**< 0: the request has no affinity */
	uint64_t route;
	enum affinity_mode mode;
	/** The homes, by rank, and their scores. */
	uint64_t servers[AFFINITY_HOMES_MAX];
	uint64_t scores[AFFINITY_HOMES_MAX];
	size_t server_count;
	size_t home_count; /**< homes that the object needs; server_count is
			      lower if there are fewer servers */
	int64_t now_us;
};

/** A request sent to a server, for learning from its response. */
struct affinity_sample {
	uint64_t route; /**< 0: nothing to learn */
	enum affinity_class class;
	/** Expected time of the response without regard to the object; 0:
	 * unknown. */
	double expected_us;
};

/** Capacity of a service's servers, which decides how many homes an object
 * needs. */
struct affinity_capacity {
	double response_us; /**< mean time of a request */
	double slots;       /**< requests that one server runs at once */
	size_t vm_count;    /**< live VMs, this one included */
};

struct affinity_object;
struct affinity_seen;
struct affinity_route;

/** What a VM has sent where, and what it has learned. Empty when zeroed. */
struct affinity {
	struct affinity_object *objects; /**< uthash by object, oldest first */
	struct affinity_seen *seen;    /**< uthash by object and server, oldest
					  first */
	struct affinity_route *routes; /**< uthash by route, oldest first */
	uint64_t vm; /**< distinguishes this VM's choice among homes */
};

void affinity_reset(struct affinity *affinity);
/** Sets the object of a request and the number of its homes. request_hash
 * differs between requests and is equal for attempts of one request. */
void affinity_target_init(const struct affinity *affinity,
    struct affinity_target *target, uint64_t request_hash,
    const struct affinity_capacity *capacity, int64_t now_us);
/** Adds an available server of the service. The target keeps those with the
 * highest rank. */
void affinity_target_add(struct affinity_target *target, uint64_t server);
enum affinity_class affinity_class_of(const struct affinity *affinity,
    const struct affinity_target *target, uint64_t server);
/** Returns the expected saving of a request on a server. idle_us: expected time
 * on the server when it is idle, without regard to the object; delay_us: what
 * the choice adds to that for requests that run beside it. */
double affinity_saving_us(const struct affinity *affinity,
    const struct affinity_target *target, uint64_t server, double idle_us,
    double delay_us);
/** Records that a request is sent to a server. */
void affinity_request_started(struct affinity *affinity,
    const struct affinity_target *target, uint64_t server);
/** Learns from a complete response. */
void affinity_learn(struct affinity *affinity,
    const struct affinity_sample *sample, int64_t elapsed_us);
/** Returns the time that a response would have taken without the saving that
 * was learned, so that a server with many hits is not taken for a fast one. */
int64_t affinity_neutral_us(const struct affinity *affinity,
    const struct affinity_sample *sample, int64_t elapsed_us);
/** Returns the share of the time that requests of a route are expected to save
 * on servers of a class: the learned one, or the initial one if nothing was
 * learned. */
double affinity_gain(
    const struct affinity *affinity, uint64_t route, enum affinity_class class);
/** Removes what was sent to a server that has restarted or is gone. */
void affinity_forget_server(struct affinity *affinity, uint64_t server);
/** Returns the number of entries of all tables, for tests of their bounds. */
size_t affinity_entry_count(const struct affinity *affinity);

#endif
