/** @file
 * The share of something that is limited for all VMs together which the VMs
 * that this one reaches may use. No I/O; callers pass the time.
 *
 * VMs that are not heard any more may be alive behind a partition, and use
 * their share. So they stay known until they announce a stop, or for longer
 * than regions lose each other.
 */
#ifndef DISPATCH_FLEET_SHARE_H
#define DISPATCH_FLEET_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct known_vm;

/** The other VMs; empty when zeroed. */
struct fleet_share {
	struct known_vm *vms; /**< uthash by hash of the name */
	size_t known;         /**< this VM included */
	size_t reached;       /**< the same */
};

void fleet_share_reset(struct fleet_share *fleet);
/** Begins a new count: no VM is reached. */
void fleet_share_begin(struct fleet_share *fleet);
/** Counts a VM that is listed or heard. seen_us: when it last was. */
void fleet_share_count(
    struct fleet_share *fleet, uint64_t vm, int64_t seen_us, bool reached);
/** Removes a VM that has announced its stop. */
void fleet_share_remove(struct fleet_share *fleet, uint64_t vm);
/** Ends the count. */
void fleet_share_end(struct fleet_share *fleet, int64_t now_us);

#endif
