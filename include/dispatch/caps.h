/** @file
 * Caps on the requests of workspaces. One VM, the coordinator of a workspace,
 * issues a permit for each of its requests at all VMs, so that the cap holds
 * for all of them together however uneven their demand is. No I/O; callers pass
 * the time.
 *
 * The rule is that in any 5 s the requests of a workspace stay within 1.1 times
 * (5 s of its rate, and its burst) and 20 more, also while VMs disagree on who
 * coordinates. So a new coordinator starts without a burst, and each issues
 * only the share of the cap that the VMs it reaches are of those it knows.
 *
 * Above the cap, new programs are refused rather than requests of programs that
 * have begun, whose earlier work would be lost. A second bucket holds as many
 * tokens as the programs that began lately still need.
 */
#ifndef DISPATCH_CAPS_H
#define DISPATCH_CAPS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch/program_set.h"

struct cap_bucket;

/** A cap as a version of the configuration declares it. */
struct cap {
	uint64_t version;
	double per_s; /**< 0: no cap */
	double burst;
};

/** What a coordinator has issued, by workspace. To be initialised with
 * caps_init(). */
struct caps {
	struct cap_bucket *buckets; /**< uthash, in the order of addition */
	struct program_set programs;
};

/** A request for a permit. */
struct cap_claim {
	uint64_t workspace;  /**< hash of its name */
	struct cap cap;      /**< as the asking VM knows it */
	double share;        /**< of the cap that this coordinator may issue */
	uint64_t program;    /**< hash of workspace and program id; 0: none */
	bool has_begun;      /**< the asking VM knows that the program has */
	int64_t max_wait_us; /**< longest wait that the request accepts */
	uint32_t wanted;     /**< permits that the VM would use before a lease
				of them expires */
	/** Leased permits that requests of programs used since the VM asked
	 * last. */
	uint32_t used;
};

enum cap_result {
	CAP_GRANTED = 1,
	CAP_REFUSED = 2,         /**< the request exceeds the cap */
	CAP_PROGRAM_REFUSED = 3, /**< it would begin a program, whose further
				    requests would exceed the cap */
};

struct cap_permit {
	enum cap_result result;
	/** Granted: until the request may be sent. Otherwise: after what time
	 * the caller should return. */
	int64_t wait_us;
	uint32_t leased; /**< further permits, for requests of begun programs */
	bool began_program;  /**< granted: to the first request of a program */
	bool begins_to_bind; /**< first refusal after a while without any */
};

/** State of a workspace's cap for log lines. */
struct cap_state {
	struct cap cap;
	double demand_per_s; /**< rate at which permits were asked for lately */
	double
	    program_requests; /**< requests that a program is taken to need */
	uint64_t refused;     /**< since the cap began to bind */
};

void caps_init(struct caps *caps);
void caps_reset(struct caps *caps);
/** Takes a permit. The cap of the highest version that any VM stated counts. */
struct cap_permit
caps_take(struct caps *caps, const struct cap_claim *claim, int64_t now_us);
/** Takes back a permit of a request that was refused afterwards. began_program:
 * the permit began its program, which then counts as not begun. */
void caps_give_back(struct caps *caps, uint64_t workspace, uint64_t program,
    bool began_program);
/** Writes the state of a workspace's cap. Returns false if this VM has issued
 * nothing for it. */
bool caps_state(
    const struct caps *caps, uint64_t workspace, struct cap_state *state);
/** Calls is_coordinator for each workspace, and drops what was issued for those
 * that another VM coordinates: if this VM coordinates them again, it starts
 * without a burst, as the other one may have issued one. */
void caps_keep(struct caps *caps,
    bool (*is_coordinator)(void *context, uint64_t workspace), void *context);
/** Returns a workspace whose cap has ceased to bind, each once; 0: none. Also
 * forgets old programs. To be called regularly. */
uint64_t caps_next_released(struct caps *caps, int64_t now_us);
/** Returns the share of a cap that a coordinator may issue which reaches some
 * of the VMs that it knows; both counts include itself. All sides of a
 * partition together issue no more than the cap. */
double caps_share(size_t reachable, size_t known);

#endif
