/** @file
 * Stages that a request passes after its route and workspace are known and
 * before it is sent to a backend server. Each stage passes the request on,
 * keeps it waiting, or ends it.
 */
#ifndef GATEWAY_STAGE_H
#define GATEWAY_STAGE_H

struct request;

/** Stages in the order in which a request passes them. */
enum request_stage {
	STAGE_CAP,       /**< cap on the requests of its workspace */
	STAGE_ADMISSION, /**< room at the servers of its service */
	STAGE_DONE,      /**< handed to request_begin() */
};

enum stage_result {
	STAGE_PASSED,  /**< the request enters the next stage */
	STAGE_WAITING, /**< the stage calls stage_resume() later */
	STAGE_ENDED,   /**< the request was refused and freed */
};

/** Takes a request through its remaining stages. May free it. */
void stage_run(struct request *request);
/** Takes a waiting request through the stages after the current one. May free
 * it. */
void stage_resume(struct request *request);
/** Handles the time request.stage_due_us of a waiting request. */
void stage_handle_due(struct request *request);
/** Releases what the stages hold for a request that ends. */
void stage_cancel(struct request *request);

#endif
