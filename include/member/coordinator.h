/** @file
 * Which VM coordinates a matter, chosen by each VM on its own by rendezvous
 * hashing over those that it hears. VMs that hear each other choose the same
 * one. No I/O; callers pass the time.
 */
#ifndef MEMBER_COORDINATOR_H
#define MEMBER_COORDINATOR_H

#include "member/member.h"

/** The VM that chooses, which hears itself. */
struct coordinator_self {
	const char *vm;
	const char *failure_domain;
	bool leaving; /**< it takes over nothing more */
};

/** Returns the VM that coordinates the matter with a hash, preferably one of a
 * failure domain ("": any). May be the VM that chooses. */
const char *coordinator_choose(const struct members *members,
    const struct coordinator_self *self, uint64_t matter,
    const char *failure_domain, int64_t now_us);

#endif
