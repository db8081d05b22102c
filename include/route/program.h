/** @file
 * Routing state of programs: the servers believed to hold their KV cache, and
 * their current pause. The table is bounded; the least recently used program is
 * evicted first.
 */
#ifndef ROUTE_PROGRAM_H
#define ROUTE_PROGRAM_H

#include <uthash.h>

#include "common/list.h"
#include "route/server.h"

enum {
	PROGRAM_CACHE_ENTRIES_MAX = 2, /**< servers tracked per program */
	PROGRAM_TOOL_BYTES = 2 * NAME_BYTES,
};

/** KV cache that a server is believed to hold for a program. */
struct route_cache_entry {
	struct route_server *server; /**< NULL: unused entry */
	uint64_t tokens;             /**< 0: nothing cached */
};

/** Routing state of a program. */
struct route_program {
	char id[PROGRAM_ID_BYTES];
	/** most recently used server first */
	struct route_cache_entry cache_entries[PROGRAM_CACHE_ENTRIES_MAX];
	char tool[PROGRAM_TOOL_BYTES]; /**< "workspace/tool" of the pause */
	int64_t pause_begun_us;        /**< 0: not pausing */
	/** when to release the KV cache; INT64_MAX: never */
	int64_t release_us;
	struct list lru_link; /**< link in route_programs.lru */
	UT_hash_handle hh;
};

/** Bounded table of programs. */
struct route_programs {
	struct route_program *by_id; /**< uthash by program id */
	struct list lru;             /**< least recently used first */
};

void programs_init(struct route_programs *programs);
/** Frees all programs. */
void programs_reset(struct route_programs *programs);
/** Returns the program with an id, or NULL. Does not mark it used. */
struct route_program *
programs_find(const struct route_programs *programs, const char *id);
/** Returns the program with an id, added if missing, and marks it most recently
 * used. Evicts the least recently used program when the table is full. */
struct route_program *
programs_find_or_add(struct route_programs *programs, const char *id);
/** Removes a program, if it is in the table. */
void programs_remove(struct route_programs *programs, const char *id);
/** Clears the cache entries of a server for all programs, after it restarted or
 * its cache events were lost. */
void programs_clear_server_cache(
    struct route_programs *programs, const struct route_server *server);
/** Records the tokens that a server holds after it ran a call, and makes its
 * entry the most recently used. */
void program_set_cache_entry(struct route_program *program,
    struct route_server *server, uint64_t tokens);
/** Records the tokens that a server held according to a delayed cache event.
 * Never replaces a non-empty entry of another server. */
void program_update_cache_entry(struct route_program *program,
    struct route_server *server, uint64_t tokens);
/** Records that a server no longer holds KV cache of the program. */
void program_clear_cache_entry(
    struct route_program *program, const struct route_server *server);
/** Returns the tokens that a server is believed to hold for a program; 0 if
 * program is NULL. */
uint64_t program_cached_tokens(
    const struct route_program *program, const struct route_server *server);

#endif
