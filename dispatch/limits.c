#include <math.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/memory.h"
#include "dispatch/limits.h"

enum {
	/* More than the servers that limit their requests at a time. */
	ENTRIES_MAX = 4096,
	CHECK_INTERVAL_US = 1 * US_PER_S,
};

/* Relative change of a limit that other VMs are told of. */
static const double NOTABLE_CHANGE = 0.1;

static struct limit *
find(const struct limits *limits, const struct server_start *start)
{
	struct limit *limit;

	/* NOLINTNEXTLINE(clang-analyzer-core.*): uthash */
	HASH_FIND(hh, limits->entries, start, sizeof(*start), limit);
	return limit;
}

static void
limit_free(struct limits *limits, struct limit *limit)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(limits->entries, limit);
	free(limit);
}

void
limits_reset(struct limits *limits)
{
	struct limit *limit, *next;

	HASH_ITER (hh, limits->entries, limit, next)
		limit_free(limits, limit);
}

static struct limit *
add(struct limits *limits, const struct server_start *start)
{
	struct limit *limit;

	if (HASH_COUNT(limits->entries) == ENTRIES_MAX)
		limit_free(limits, limits->entries);
	limit = xcalloc(1, sizeof(*limit));
	limit->start = *start;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_ADD(hh, limits->entries, start, sizeof(limit->start), limit);
	return limit;
}

static bool
is_notable(
    const struct limit_statement *old, const struct limit_statement *statement)
{
	if (!old->limited || !statement->limited)
		return old->limited != statement->limited;
	return fabs(statement->per_s - old->per_s) >
	    NOTABLE_CHANGE * old->per_s;
}

bool
limits_apply(struct limits *limits, const struct server_start *start,
    const struct limit_statement *statement)
{
	struct limit *limit = find(limits, start);
	bool notable;

	if (limit == NULL && !statement->limited)
		return false;
	if (limit == NULL)
		limit = add(limits, start);
	else if (statement->stated_us <= limit->statement.stated_us)
		return false;
	notable = is_notable(&limit->statement, statement);
	if (notable)
		limit->next_permit_us = 0;
	limit->statement = *statement;
	return notable;
}

const struct limit_statement *
limits_latest(const struct limits *limits, const struct server_start *start)
{
	const struct limit *limit = find(limits, start);

	return limit != NULL ? &limit->statement : NULL;
}

struct limit *
limits_find(const struct limits *limits, const struct server_start *start)
{
	struct limit *limit = find(limits, start);

	return limit != NULL && limit->statement.limited ? limit : NULL;
}

bool
limit_check_is_due(struct limit *limit, int64_t now_us)
{
	if (now_us - limit->statement.stated_us < CHECK_INTERVAL_US ||
	    now_us < limit->next_check_us)
		return false;
	limit->next_check_us = now_us + CHECK_INTERVAL_US;
	return true;
}

void
limit_expect_permit(struct limit *limit, int64_t at_us)
{
	limit->next_permit_us = at_us;
}

int64_t
limit_permit_wait_us(const struct limit *limit, int64_t now_us)
{
	return limit->next_permit_us > now_us ? limit->next_permit_us - now_us
					      : 0;
}
