/** @file
 * A caller of guavakeel: asks for addresses, follows the owner of its program,
 * and sends a refused or broken call again where that is safe. Blocking; used
 * by the demo and by end-to-end tests.
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
	CALLER_ADDRESSES = 16,
	CALLER_ADDRESS_BYTES = 64,
};

struct caller;

/** A whole answer. */
struct caller_answer {
	enum http_result result;
	int status;
	json_t *body;                       /**< NULL if it was no JSON */
	char address[CALLER_ADDRESS_BYTES]; /**< the VM that answered */
	uint32_t tries;
	bool maybe_ran; /**< an earlier try may have run */
};

/** Addresses ("IP:port") that are tried first; ends with NULL. */
struct caller *
caller_create(const char *const *addresses, const char *workspace);
void caller_destroy(struct caller *caller);
/** Longest time over all tries, in microseconds. */
void caller_set_patience(struct caller *caller, int64_t patience_us);

/** Begins a program; fills id (PROGRAM_ID_BYTES). */
bool caller_begin(struct caller *caller, const char *parent,
    uint64_t budget_tokens, const char *key, char *id, struct error *err);
bool caller_end(struct caller *caller, const char *program, struct error *err);
/** Sends a model call with new messages (reference is taken) and waits for its
 * whole answer. turn 0: the next one. digest: of the history so far. */
bool caller_chat(struct caller *caller, const char *program, uint64_t turn,
    const char *digest, const char *key, const char *model, json_t *messages,
    struct caller_answer *answer, struct error *err);
/** Calls a tool with JSON arguments (reference is taken). */
bool caller_tool(struct caller *caller, const char *program, const char *key,
    const char *tool, json_t *arguments, struct caller_answer *answer,
    struct error *err);
/** One request to a fixed address, without tries. */
void caller_request(struct caller *caller, const char *address,
    enum http_method method, const char *path, json_t *body,
    struct caller_answer *answer);
void caller_answer_reset(struct caller_answer *answer);

#endif
