/** @file
 * Interfaces between standin.c and the standin_*.c files.
 */
#ifndef STANDINS_STANDIN_INTERNAL_H
#define STANDINS_STANDIN_INTERNAL_H

#include "standins/standin.h"

/** The fields of all stand-ins followed by those of one program. */
struct field_list {
	struct field items[FIELDS_MAX];
	size_t count;
};

/** What happens to a reply. */
enum reply_fault {
	REPLY_NORMAL,
	REPLY_LOST,       /**< the connection is dropped instead */
	REPLY_NEVER_SENT, /**< nothing is sent, the connection stays open */
	REPLY_DELAYED,    /**< it is sent after reply_delay_ms */
};

/** Appends fields to a list. */
void field_list_add(
    struct field_list *list, const struct field *fields, size_t count);

/** Creates a request from a received one. */
struct standin_request *standin_request_create(
    struct standin *standin, const struct http_request *http);
/** The same for a program with strict_targets. Returns NULL after it has
 * rejected a request whose target is invalid. */
struct standin_request *standin_request_create_strict(
    struct standin *standin, struct h1_exchange *exchange);
/** Sends no reply to a request, which is freed when its caller disconnects. The
 * request is invalid afterwards. */
void standin_never_reply(struct standin_request *request);

/** Returns whether faults apply to a request's path. */
bool standin_faults_apply(const struct standin_request *request);
/** Applies faults to a request before it is handled. Returns false if there are
 * none, so that the program has to handle it. */
bool standin_faults_intercept(struct standin_request *request);
/** Returns the fault that applies to the reply of a request; may exit the
 * process instead. */
enum reply_fault
standin_faults_choose_reply(const struct standin_request *request);
/** Handles /faults: sets faults on POST, clears them on DELETE, and replies
 * with their values. */
void standin_handle_faults(struct standin_request *request);

#endif
