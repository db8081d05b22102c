/** @file
 * What a caller says of its request, besides method, path and body.
 */
#ifndef GATEWAY_ATTRIBUTES_H
#define GATEWAY_ATTRIBUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch/backends.h"

enum {
	ATTRIBUTES_PROMPT_PARTS_MAX =
	    16, /**< of a prompt; more are counted as one */
};

struct attributes {
	char
	    request_id[NAME_BYTES]; /**< of this sending; a retry has another */
	bool has_timeout;
	int64_t timeout_us; /**< how long the caller will wait */

	char program[NAME_BYTES];       /**< "": of no program */
	char session[NAME_BYTES];       /**< one line of a program's turns */
	char previous_turn[NAME_BYTES]; /**< request of the turn that this one
				      continues; "" for the first */
	bool has_finish_time;
	int64_t finish_within_us; /**< until the program should have finished */
	bool has_budget;
	uint64_t
	    budget_tokens; /**< that all turns of the program may generate */

	uint64_t prompt_tokens;
	uint64_t max_tokens; /**< that this turn may generate */
	struct prompt_part prompt_parts[ATTRIBUTES_PROMPT_PARTS_MAX];
	size_t prompt_part_count;

	char affinity_key[NAME_BYTES]; /**< object that the request concerns */
};

#endif
