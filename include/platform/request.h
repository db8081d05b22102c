/** @file
 * Header fields of callers' requests and of backend servers' responses in the
 * platform's HTTP protocol.
 */
#ifndef PLATFORM_REQUEST_H
#define PLATFORM_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "dispatch/stated_limit.h"
#include "gateway/attributes.h"
#include "h1/message.h"

/** Header fields that the gateway sets on a request to a backend server. */
struct forward_fields {
	int64_t remaining_us; /**< time left until the deadline */
	const char *backend;  /**< id of the only server that may
				 execute the request */
	int urgency;          /**< 0 (first) to 9; negative: field omitted */
	const char *resume_after; /**< id of the last event that the caller
				     received, or NULL */
	/** Callers have keys of workspaces; neither a key nor a workspace that
	 * a caller names is sent to a server. */
	bool has_workspaces;
	const char *workspace; /**< name of the request's workspace, or NULL */
};

/** A backend server's response without its body. */
struct backend_response {
	int status;
	/** The response says that the request was not executed. */
	bool not_executed;
	/** Status 421: the address now belongs to another server, which did not
	 * execute the request. */
	bool misdirected;
	bool matches_request; /**< Request-Id is that of the request sent */
	bool has_signature;   /**< Response-Signature is present */
	bool server_leaving;  /**< the server is about to stop */
	struct stated_limit limit;
};

/** Decodes the header fields of a caller's request.
 * Errors: ERROR_INVALID, naming the missing or invalid field. */
bool platform_request_decode(const struct h1_headers *headers,
    struct attributes *attributes, struct error *err);
/** Returns the key of a workspace that a caller's request carries, and its
 * length; it is not NUL-terminated. Returns NULL if there is none or more than
 * one. */
const char *platform_request_key(const struct h1_headers *headers, size_t *len);
/** Builds the header of the request to a backend server: the caller's
 * end-to-end fields, except those that only the gateway may set, followed by
 * the gateway's. */
void platform_request_forward(const struct h1_headers *from,
    const struct forward_fields *fields, struct h1_headers *to);
/** Builds the header of a request that another gateway is to handle: the
 * caller's end-to-end fields with the key, except those that only a gateway may
 * set, and the time left. */
void platform_request_relay(
    const struct h1_headers *from, int64_t remaining_us, struct h1_headers *to);
/** Returns whether a response has a Request-Id field. */
bool platform_response_has_request_id(const struct h1_head *head);
/** Decodes a response to the request with the given id. */
void platform_response_decode(const struct h1_head *head,
    const char *request_id, struct backend_response *response);
/** Adds a Request-Id field to a response that the gateway itself sends; does
 * nothing when the id is "". */
void platform_response_add_request_id(
    struct h1_headers *headers, const char *request_id);

#endif
