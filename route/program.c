#include "route/program.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"

enum {
	PROGRAMS_MAX = 4096,
};

void
programs_init(struct route_programs *programs)
{
	programs->by_id = NULL;
	list_init(&programs->used);
}

static void
program_free(struct route_programs *programs, struct route_program *program)
{
	HASH_DEL(programs->by_id, program);
	list_remove(&program->used);
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
	list_init(&programs->used);
}

struct route_program *
programs_find(const struct route_programs *programs, const char *id)
{
	struct route_program *program;

	HASH_FIND_STR(programs->by_id, id, program);
	return program;
}

struct route_program *
programs_use(struct route_programs *programs, const char *id)
{
	struct route_program *program = programs_find(programs, id);

	if (program != NULL) {
		list_remove(&program->used);
		list_append(&programs->used, &program->used);
		return program;
	}
	if (HASH_COUNT(programs->by_id) >= PROGRAMS_MAX)
		program_free(programs,
		    list_entry(
			programs->used.next, struct route_program, used));
	program = xcalloc(1, sizeof(*program));
	snprintf(program->id, sizeof(program->id), "%s", id);
	program->release_us = INT64_MAX;
	list_init(&program->used);
	list_append(&programs->used, &program->used);
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
programs_clear_server(
    struct route_programs *programs, const struct route_server *server)
{
	list_for_each (program, &programs->used, struct route_program, used)
		program_lose_holding(program, server);
}

void
program_set_holding(
    struct route_program *program, struct route_server *server, uint64_t tokens)
{
	size_t at = 0;

	while (
	    at < PROGRAM_HOLDINGS - 1 && program->holdings[at].server != server)
		at++;
	memmove(&program->holdings[1], &program->holdings[0],
	    at * sizeof(program->holdings[0]));
	program->holdings[0] =
	    (struct route_holding){.server = server, .tokens = tokens};
}

void
program_note_holding(
    struct route_program *program, struct route_server *server, uint64_t tokens)
{
	for (size_t i = 0; i < PROGRAM_HOLDINGS; i++) {
		struct route_holding *holding = &program->holdings[i];

		if (holding->server == server) {
			holding->tokens = tokens;
			return;
		}
	}
	for (size_t i = 0; i < PROGRAM_HOLDINGS; i++) {
		struct route_holding *holding = &program->holdings[i];

		if (holding->server != NULL && holding->tokens > 0)
			continue;
		*holding = (struct route_holding){server, tokens};
		return;
	}
}

void
program_lose_holding(
    struct route_program *program, const struct route_server *server)
{
	for (size_t i = 0; i < PROGRAM_HOLDINGS; i++) {
		if (program->holdings[i].server == server)
			program->holdings[i].tokens = 0;
	}
}

uint64_t
program_held_tokens(
    const struct route_program *program, const struct route_server *server)
{
	if (program == NULL)
		return 0;
	for (size_t i = 0; i < PROGRAM_HOLDINGS; i++) {
		if (program->holdings[i].server == server)
			return program->holdings[i].tokens;
	}
	return 0;
}
