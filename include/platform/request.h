/** @file
 * Requests of callers and answers of backend servers on the platform's wire:
 * what their header fields say.
 */
#ifndef PLATFORM_REQUEST_H
#define PLATFORM_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "gateway/attributes.h"
#include "h1/message.h"

/** Fields that the system sets on a request to a backend server. */
struct forward_fields {
	int64_t wait_us;          /**< time that is left */
	const char *backend;      /**< id of the only server that may run it */
	int urgency;              /**< 0 first .. 9; below 0: left out */
	const char *resume_after; /**< id of the last event seen, or NULL */
};

/** What a backend server's answer says besides its body. */
struct backend_response {
	int status;
	bool not_run;   /**< it says that it did not run the request */
	bool misplaced; /**< another server has the address; not run */
	bool ours;      /**< it names the request that was sent */
	bool genuine;   /**< it bears a server's signature */
	bool closing;   /**< the server is leaving, or drops the connection */
};

/** Errors: ERROR_INVALID with the field that is wrong. */
bool platform_request_decode(const struct h1_headers *headers,
    struct attributes *attributes, struct error *err);
/** Makes the header of the request to a backend server: the caller's fields,
 * without those that are the system's to set, and the system's. */
void platform_request_forward(const struct h1_headers *from,
    const struct forward_fields *fields, struct h1_headers *to);
/** Returns whether an answer names the request that it belongs to. */
bool platform_response_has_request_id(const struct h1_head *head);
void platform_response_decode(const struct h1_head *head, const char *request,
    struct backend_response *answer);
/** Adds the request's id to an answer of the system's own. */
void platform_response_add_request_id(
    struct h1_headers *headers, const char *request);

#endif
