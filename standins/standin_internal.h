/** @file
 * Shared by the standin_*.c files.
 */
#ifndef STANDINS_STANDIN_INTERNAL_H
#define STANDINS_STANDIN_INTERNAL_H

#include "standins/standin.h"

/** Fields shared by all stand-ins and those of one program, joined. */
struct field_list {
	struct field items[FIELDS_MAX];
	size_t count;
};

/** How a reply ends. */
enum reply_fault {
	REPLY_NORMAL,
	REPLY_LOST,       /**< the connection is cut instead */
	REPLY_NEVER_SENT, /**< nothing is ever sent */
	REPLY_DELAYED,    /**< after reply_delay_ms */
};

void field_list_add(
    struct field_list *list, const struct field *fields, size_t count);

struct standin_request *standin_request_create(
    struct standin *standin, const struct http_request *http);
/** Never answers a request; it is invalid afterwards. */
void standin_never_reply(struct standin_request *request);

/** Returns whether faults apply to the request. */
bool standin_faults_apply(const struct standin_request *request);
/** Does what the faults order for a request that comes in; false: they let it
 * pass. */
bool standin_faults_intercept(struct standin_request *request);
/** Chooses how the reply of a request ends. */
enum reply_fault
standin_faults_choose_reply(const struct standin_request *request);
/** Answers POST, DELETE and GET /faults. */
void standin_handle_faults(struct standin_request *request);

#endif
