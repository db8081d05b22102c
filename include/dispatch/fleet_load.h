/** @file
 * Requests that the VMs of other failure domains run on each backend server.
 * The VMs of a failure domain divide the servers among themselves: each one
 * reports the sum of its failure domain for its share of the servers to the VMs
 * that have the same share in other failure domains, and these pass what they
 * receive on within theirs. Figures are kept by failure domain and with their
 * age, so that none is counted twice. No I/O; callers pass the time.
 */
#ifndef DISPATCH_FLEET_LOAD_H
#define DISPATCH_FLEET_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "dispatch/backends.h"

enum {
	/** Further failure domains are ignored. */
	FLEET_LOAD_DOMAINS_MAX = 16,
};

struct fleet_load_server;

/** What this VM knows of other failure domains. */
struct fleet_load {
	struct fleet_load_server *servers; /**< uthash */
	/** Hashes of the failure domains' names. */
	uint32_t domains[FLEET_LOAD_DOMAINS_MAX];
	size_t domain_count;
	uint32_t own_domain; /**< hash of this VM's failure domain */
};

/** Position of a VM among the live ones of its failure domain. */
struct fleet_load_rank {
	uint32_t rank; /**< 0 .. count - 1 */
	uint32_t count;
};

void fleet_load_init(struct fleet_load *load, const char *failure_domain);
void fleet_load_reset(struct fleet_load *load);
/** Returns the rank of the VM, of count in a failure domain, whose share has
 * the server with this hash. */
uint32_t fleet_load_share(uint64_t server, uint32_t count);
/** Appends the sums of this failure domain for the servers in the shares of
 * both VMs: `from` in this failure domain, `to` in another one. Returns the
 * number of servers. */
size_t fleet_load_encode_sums(const struct fleet_load *load,
    const struct backends *backends, const struct fleet_load_rank *from,
    const struct fleet_load_rank *to, struct buf *out);
/** Appends the figures that were received directly from other failure domains
 * since the last call, to be passed on in this one. Returns the number of
 * servers. */
size_t fleet_load_encode_received(
    struct fleet_load *load, int64_t now_us, struct buf *out);
/** Applies encoded figures; of two for the same server and failure domain the
 * newer one is kept. direct: from a VM of another failure domain. Returns false
 * if the data is malformed. */
bool fleet_load_apply(struct fleet_load *load, const uint8_t *data, size_t len,
    bool direct, int64_t now_us);
/** Sets the requests of other failure domains on each server. An old or missing
 * figure fades to the mean of the service's servers in its failure domain. */
void fleet_load_fold(
    struct fleet_load *load, struct backends *backends, int64_t now_us);

#endif
