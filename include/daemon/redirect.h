/** @file
 * Decides where to send a request whose program's shard this VM does not own.
 * Code without I/O.
 */
#ifndef DAEMON_REDIRECT_H
#define DAEMON_REDIRECT_H

#include "member/member.h"
#include "program/owner.h"

enum {
	/** Longest time that a request waits for the shard's next owner. VMs
	 * probe each other every 500 ms. */
	REDIRECT_WAIT_US = 750000,
};

enum redirect_target {
	REDIRECT_OWNER,     /**< the VM that owns the shard */
	REDIRECT_PREFERRED, /**< the VM that should own the shard */
	REDIRECT_WAIT,      /**< none yet: ownership is moving */
	REDIRECT_NONE,      /**< none: no other VM can be named */
};

/** What a VM knows about the ownership of a shard. */
struct redirect_view {
	const char *vm;      /**< this VM */
	const char *address; /**< "IP:port" of this VM for callers */
	struct shard_ownership ownership;
	struct members *members; /**< all known VMs */
};

/** Chooses where to send a request that has waited for waited_us, and writes
 * the address ("IP:port") for REDIRECT_OWNER and REDIRECT_PREFERRED.
 *
 * A VM that named the next owner while ownership moves could be sent the
 * request back by it, as fast as the caller follows, since the next owner may
 * read the release later. So the request waits for the claim. */
enum redirect_target
redirect_choose(const struct redirect_view *view, uint32_t shard,
    int64_t waited_us, int64_t now_us, char *address, size_t size);

#endif
