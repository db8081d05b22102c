/** @file
 * Caps on the requests of workspaces: permits, which this gateway issues for
 * the workspaces that it coordinates and asks for otherwise.
 */
#ifndef GATEWAY_WORKSPACE_CAPS_H
#define GATEWAY_WORKSPACE_CAPS_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "gateway/stage.h"
#include "record/record.h"

struct gateway;
struct message;
struct request;
struct workspace_caps;

/** A request's permit, and its wait for it. */
struct cap_wait {
	UT_hash_handle hh; /**< in workspace_caps, by number */
	uint64_t number;   /**< 0: does not wait */
	bool granted;      /**< waits until the permit is valid */
	int64_t give_up_us;
	char coordinator[NAME_BYTES]; /**< asked last; "": none */
	bool has_permit;
	bool began_program; /**< the permit began its program */
};

struct workspace_caps *workspace_caps_create(struct gateway *gateway);
void workspace_caps_destroy(struct workspace_caps *workspace_caps);
/** Takes a permit for a request that enters STAGE_CAP. */
enum stage_result workspace_caps_enter(struct request *request);
/** Handles request.stage_due_us. */
void workspace_caps_handle_due(struct request *request);
/** Ends the request's wait, if any. */
void workspace_caps_cancel(struct request *request);
/** Gives back the permit of a request that a later stage refuses. */
void workspace_caps_return_permit(struct request *request);
void workspace_caps_handle_message(
    struct workspace_caps *workspace_caps, const struct message *message);
/** Does the regular work; to be called every 100 ms. */
void workspace_caps_tick(struct workspace_caps *workspace_caps);

#endif
