/** @file
 * Turns of programs: what a turn needs before it may be sent to a backend
 * server, and what has to be kept of it before its answer ends.
 */
#ifndef GATEWAY_TURN_H
#define GATEWAY_TURN_H

#include <stdbool.h>

#include "gateway/request.h"
#include "peer/message.h"

struct turn;

struct turns *turns_create(struct gateway *gateway);
void turns_destroy(struct turns *turns);
void turns_handle_message(struct turns *turns, const struct message *message);
/** Returns the number of ends that owners have not acknowledged. */
size_t turns_pending_reports(const struct turns *turns);

/** Asks for the turn and collects its history; then the request is sent, or
 * refused. */
void turn_begin(struct request *request);
/** The time that the turn has set has come. */
void turn_handle_timeout(struct request *request);
/** The whole answer has passed but for its end: keeps the turn, and then
 * completes the request. */
void turn_commit(struct request *request);
/** The request ends; tells the owner if that is still to be done. */
void turn_destroy(struct request *request);
/** Returns what a turn waits for, as logs name it; NULL: nothing. */
const char *turn_wait_reason(const struct request *request);
/** Server that has the program's cache, or "". */
const char *turn_cache_server(const struct request *request);

#endif
