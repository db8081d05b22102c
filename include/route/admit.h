/** @file
 * Admission: under overload new programs are held back or refused, so that
 * those half done can finish.
 */
#ifndef ROUTE_ADMIT_H
#define ROUTE_ADMIT_H

#include "common/refusal.h"
#include "route/queue.h"

/** Decides on a call that has just come in. False: refuse with *reason. */
bool
admit_call(const struct route_queue *queue, const struct sched_policy *policy,
    const struct route_call *call, int64_t now_us, enum refusal *reason);
/** Returns whether a waiting call is to be refused, with *reason: it is past
 * its deadline, or would begin a program and has waited too long. */
bool admit_expired(
    const struct route_call *call, int64_t now_us, enum refusal *reason);
/** Returns whether a server may take a call that begins a program. */
bool admit_program_start(const struct route_server *server,
    const struct sched_policy *policy, int64_t waited_us);

#endif
