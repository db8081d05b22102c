/** @file
 * Admission control. Under overload, new programs are held back or refused so
 * that programs already under way can finish.
 */
#ifndef ROUTE_ADMIT_H
#define ROUTE_ADMIT_H

#include "common/refusal.h"
#include "route/queue.h"

/** Returns whether a call that was just submitted may be queued. If not, sets
 * *reason to the refusal. */
bool
admit_call(const struct route_queue *queue, const struct sched_policy *policy,
    const struct route_call *call, int64_t now_us, enum refusal *reason);
/** Returns whether a waiting call must be refused because its deadline has
 * passed, or because it would start a program and has waited too long. Sets
 * *reason to the refusal. */
bool admit_expired(
    const struct route_call *call, int64_t now_us, enum refusal *reason);
/** Returns whether a call that starts a program and has waited for waited_us
 * may be sent to a server. */
bool admit_program_start(const struct route_server *server,
    const struct sched_policy *policy, int64_t waited_us);

#endif
