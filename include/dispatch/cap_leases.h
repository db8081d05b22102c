/** @file
 * What a VM holds of the caps of workspaces that other VMs coordinate: leased
 * permits, and the share that it issues itself while no coordinator replies. No
 * I/O; callers pass the time.
 */
#ifndef DISPATCH_CAP_LEASES_H
#define DISPATCH_CAP_LEASES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "dispatch/caps.h"
#include "dispatch/program_set.h"

struct cap_lease;

enum {
	/** Time after which leased permits expire. They may be used in a later
	 * 5 s window than they were issued in: half a second of the rate at the
	 * usual 0.6 of the cap fits the tenth that the window tolerates. */
	CAP_LEASE_US = 500 * US_PER_MS,
};

/** To be initialised with cap_leases_init(). */
struct cap_leases {
	struct cap_lease *by_workspace; /**< uthash, in the order of addition */
	/** Programs that a coordinator has granted a request of lately. */
	struct program_set programs;
};

void cap_leases_init(struct cap_leases *leases);
void cap_leases_reset(struct cap_leases *leases);
/** Takes a leased permit for a request. Returns false if the coordinator has to
 * be asked: there is none, or the coordinator may not know the program. */
bool cap_leases_take(struct cap_leases *leases, uint64_t workspace,
    uint64_t program, int64_t now_us);
/** Fills the members wanted, used and has_begun of a claim. */
void cap_leases_fill_claim(
    struct cap_leases *leases, struct cap_claim *claim, int64_t now_us);
/** Adds what a coordinator has granted for a request of a program. */
void cap_leases_add(struct cap_leases *leases, uint64_t workspace,
    uint64_t program, uint32_t leased, int64_t now_us);
/** Takes a permit from this VM's own share of a cap, which is empty when no
 * coordinator has begun not to reply. */
bool cap_leases_take_share(struct cap_leases *leases, uint64_t workspace,
    const struct cap *cap, double share, int64_t now_us);
/** Forgets old programs. To be called regularly. */
void cap_leases_expire(struct cap_leases *leases, int64_t now_us);

#endif
