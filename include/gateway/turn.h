/** @file
 * Turns of programs: obtains the grant and the history that a turn needs before
 * it is sent to a backend server, and makes the turn durable before its
 * response ends.
 */
#ifndef GATEWAY_TURN_H
#define GATEWAY_TURN_H

#include <stdbool.h>

#include "gateway/request.h"
#include "peer/message.h"

struct turn;

struct turns *turns_create(struct gateway *gateway);
void turns_destroy(struct turns *turns);
/** Handles a message from a gateway, which may be this one; ignores types that
 * do not concern turns. */
void turns_handle_message(struct turns *turns, const struct message *message);
/** Returns the number of reported turn ends that partition owners have not
 * acknowledged. */
size_t turns_pending_reports(const struct turns *turns);

/** Requests a grant for the turn and loads its history, and then sends or
 * refuses the request. */
void turn_begin(struct request *request);
/** Handles the timeout that turn_schedule_timeout() has set. */
void turn_handle_timeout(struct request *request);
/** Makes the turn durable if its route retains turns, reports its end to the
 * partition owner, and then completes the request. Called when all of the
 * response has been sent except its end. */
void turn_commit(struct request *request);
/** Frees the turn; reports its end to the partition owner if that has not been
 * done. */
void turn_destroy(struct request *request);
/** Returns what the turn waits for, as named in logs; NULL: nothing, or the
 * request is no turn. */
const char *turn_wait_reason(const struct request *request);
/** Returns the id of the backend server that has the program's cache, or "". */
const char *turn_cache_server(const struct request *request);

#endif
