#include "route/program.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"

enum {
	PROGRAMS_MAX = 4096, /**< programs in the table */
};

void
programs_init(struct route_programs *programs)
{
	programs->by_id = NULL;
	list_init(&programs->lru);
}

static void
program_free(struct route_programs *programs, struct route_program *program)
{
	HASH_DEL(programs->by_id, program);
	list_remove(&program->lru_link);
	free(program);
}

void
programs_reset(struct route_programs *programs)
{
	struct route_program *next, *program = programs->by_id;

	HASH_CLEAR(hh, programs->by_id);
	for (; program != NULL; program = next) {
		next = program->hh.next;
		free(program);
	}
	list_init(&programs->lru);
}

struct route_program *
programs_find(const struct route_programs *programs, const char *id)
{
	struct route_program *program;

	HASH_FIND_STR(programs->by_id, id, program);
	return program;
}

struct route_program *
programs_find_or_add(struct route_programs *programs, const char *id)
{
	struct route_program *program = programs_find(programs, id);

	if (program != NULL) {
		list_remove(&program->lru_link);
		list_append(&programs->lru, &program->lru_link);
		return program;
	}
	if (HASH_COUNT(programs->by_id) >= PROGRAMS_MAX)
		program_free(programs,
		    list_entry(
			programs->lru.next, struct route_program, lru_link));
	program = xcalloc(1, sizeof(*program));
	snprintf(program->id, sizeof(program->id), "%s", id);
	program->release_us = INT64_MAX;
	list_init(&program->lru_link);
	list_append(&programs->lru, &program->lru_link);
	HASH_ADD_STR(programs->by_id, id, program);
	return program;
}

void
programs_remove(struct route_programs *programs, const char *id)
{
	struct route_program *program = programs_find(programs, id);

	if (program != NULL)
		program_free(programs, program);
}

void
programs_clear_server_cache(
    struct route_programs *programs, const struct route_server *server)
{
	list_for_each (program, &programs->lru, struct route_program, lru_link)
		program_clear_cache_entry(program, server);
}

void
program_set_cache_entry(
    struct route_program *program, struct route_server *server, uint64_t tokens)
{
	size_t index = 0;

	while (index < PROGRAM_CACHE_ENTRIES_MAX - 1 &&
	    program->cache_entries[index].server != server)
		index++;
	memmove(&program->cache_entries[1], &program->cache_entries[0],
	    index * sizeof(program->cache_entries[0]));
	program->cache_entries[0] =
	    (struct route_cache_entry){.server = server, .tokens = tokens};
}

void
program_update_cache_entry(
    struct route_program *program, struct route_server *server, uint64_t tokens)
{
	for (size_t i = 0; i < PROGRAM_CACHE_ENTRIES_MAX; i++) {
		struct route_cache_entry *entry = &program->cache_entries[i];

		if (entry->server == server) {
			entry->tokens = tokens;
			return;
		}
	}
	for (size_t i = 0; i < PROGRAM_CACHE_ENTRIES_MAX; i++) {
		struct route_cache_entry *entry = &program->cache_entries[i];

		if (entry->server != NULL && entry->tokens > 0)
			continue;
		*entry = (struct route_cache_entry){server, tokens};
		return;
	}
}

void
program_clear_cache_entry(
    struct route_program *program, const struct route_server *server)
{
	for (size_t i = 0; i < PROGRAM_CACHE_ENTRIES_MAX; i++) {
		if (program->cache_entries[i].server == server)
			program->cache_entries[i].tokens = 0;
	}
}

uint64_t
program_cached_tokens(
    const struct route_program *program, const struct route_server *server)
{
	if (program == NULL)
		return 0;
	for (size_t i = 0; i < PROGRAM_CACHE_ENTRIES_MAX; i++) {
		if (program->cache_entries[i].server == server)
			return program->cache_entries[i].tokens;
	}
	return 0;
}
