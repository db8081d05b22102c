/** @file
 * Programs as routing sees them: where their KV cache is believed to be, and
 * the pause that they are in. A bounded table; the longest unused goes first.
 */
#ifndef ROUTE_PROGRAM_H
#define ROUTE_PROGRAM_H

#include <uthash.h>

#include "common/list.h"
#include "route/server.h"

enum {
	PROGRAM_CACHE_ENTRIES_MAX =
	    2, /**< servers remembered for one program */
	PROGRAM_TOOL_BYTES = 2 * NAME_BYTES,
};

/** Believed KV cache of a program on a server. */
struct route_cache_entry {
	struct route_server *server; /**< NULL: none */
	uint64_t tokens;
};

struct route_program {
	char id[PROGRAM_ID_BYTES];
	struct route_cache_entry
	    cache_entries[PROGRAM_CACHE_ENTRIES_MAX]; /**< newest first */
	char tool[PROGRAM_TOOL_BYTES]; /**< workspace and tool of the pause */
	int64_t pause_begun_us;        /**< 0: not in a pause */
	int64_t release_us;            /**< when to release; INT64_MAX: not */
	struct list lru_link;          /**< least recently used first */
	UT_hash_handle hh;
};

struct route_programs {
	struct route_program *by_id; /**< uthash */
	struct list lru;
};

void programs_init(struct route_programs *programs);
void programs_reset(struct route_programs *programs);
struct route_program *
programs_find(const struct route_programs *programs, const char *id);
/** Finds or adds a program, and marks it used. */
struct route_program *
programs_find_or_add(struct route_programs *programs, const char *id);
void programs_remove(struct route_programs *programs, const char *id);
/** Forgets what a server that was restarted held. */
void programs_clear_server_cache(
    struct route_programs *programs, const struct route_server *server);
/** Notes what a server holds; 0 tokens: nothing. */
void program_set_cache_entry(struct route_program *program,
    struct route_server *server, uint64_t tokens);
/** Notes a late event: what a server held a while ago. It does not replace
 * what is known of other servers. */
void program_update_cache_entry(struct route_program *program,
    struct route_server *server, uint64_t tokens);
/** Notes that a server holds nothing any more. */
void program_clear_cache_entry(
    struct route_program *program, const struct route_server *server);
/** Returns the tokens that a server is believed to hold; program may be NULL.
 */
uint64_t program_cached_tokens(
    const struct route_program *program, const struct route_server *server);

#endif
