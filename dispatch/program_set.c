#include <stdlib.h>

#include <uthash.h>

#include "common/memory.h"
#include "dispatch/program_set.h"

struct seen_program {
	UT_hash_handle hh;
	uint64_t program;
	int64_t seen_us;
};

static void
forget(struct program_set *set, struct seen_program *seen)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(set->programs, seen);
	free(seen);
}

void
program_set_reset(struct program_set *set)
{
	struct seen_program *seen, *next;

	HASH_ITER (hh, set->programs, seen, next)
		forget(set, seen);
}

static struct seen_program *
find(const struct program_set *set, uint64_t program)
{
	struct seen_program *seen = NULL;

	HASH_FIND(hh, set->programs, &program, sizeof(program), seen);
	return seen;
}

void
program_set_add(struct program_set *set, uint64_t program, int64_t now_us)
{
	struct seen_program *seen;

	program_set_remove(set, program);
	if (HASH_COUNT(set->programs) >= set->max)
		forget(set, set->programs);
	seen = xcalloc(1, sizeof(*seen));
	seen->program = program;
	seen->seen_us = now_us;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_ADD(hh, set->programs, program, sizeof(program), seen);
}

bool
program_set_has(const struct program_set *set, uint64_t program, int64_t now_us)
{
	const struct seen_program *seen = find(set, program);

	return seen != NULL && now_us - seen->seen_us < set->kept_us;
}

void
program_set_remove(struct program_set *set, uint64_t program)
{
	struct seen_program *seen = find(set, program);

	if (seen != NULL)
		forget(set, seen);
}

void
program_set_expire(struct program_set *set, int64_t now_us)
{
	struct seen_program *seen, *next;

	HASH_ITER (hh, set->programs, seen, next) {
		if (now_us - seen->seen_us < set->kept_us)
			return;
		forget(set, seen);
	}
}
