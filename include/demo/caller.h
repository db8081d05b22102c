/** @file
 * Blocking client of guavakeel, used by the demo. It follows redirects to the
 * VM that owns its program. It repeats a call, under the same idempotency key,
 * when an attempt failed or the response allows a retry.
 */
#ifndef DEMO_CALLER_H
#define DEMO_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/buf.h"
#include "common/error.h"
#include "net/http.h"

enum {
	CALLER_MAX_ADDRESSES = 16,
	CALLER_ADDRESS_BYTES = 64,
};

struct caller;

/** The response to a call, after its last attempt. */
struct caller_response {
	enum http_result result;
	int status;
	json_t *body;                       /**< NULL if the body is not JSON */
	char address[CALLER_ADDRESS_BYTES]; /**< VM of the last attempt */
	uint32_t attempts;
	bool may_have_run; /**< a failed attempt may have run on the VM */
};

/** Creates a caller of a workspace. addresses lists entry VMs ("IP:port") and
 * ends with NULL; those beyond CALLER_MAX_ADDRESSES are ignored. */
struct caller *
caller_create(const char *const *addresses, const char *workspace);
void caller_destroy(struct caller *caller);

/** Begins a program under a parent program ("" for none). Writes its id, at
 * most PROGRAM_ID_BYTES, to id. */
bool caller_begin(struct caller *caller, const char *parent,
    uint64_t budget_tokens, const char *key, char *id, struct error *err);
bool caller_end(struct caller *caller, const char *program, struct error *err);
/** Sends the new messages of a turn to a model and waits for the complete
 * response. turn is the turn's number, or 0 for the next one. digest is that of
 * the history so far. Takes the reference to messages. */
bool caller_chat(struct caller *caller, const char *program, uint64_t turn,
    const char *digest, const char *key, const char *model, json_t *messages,
    struct caller_response *response, struct error *err);
/** Calls a tool with JSON arguments. Takes the reference to arguments. */
bool caller_tool(struct caller *caller, const char *program, const char *key,
    const char *tool, json_t *arguments, struct caller_response *response,
    struct error *err);
/** Sends one request to an address, without retries. Takes the reference to
 * body. */
void caller_request(struct caller *caller, const char *address,
    enum http_method method, const char *path, json_t *body,
    struct caller_response *response);
/** Releases the response's body. */
void caller_response_reset(struct caller_response *response);

#endif
