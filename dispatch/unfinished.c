#include <stdlib.h>

#include "common/clock.h"
#include "dispatch/unfinished.h"

enum {
	/* An entry of the list lapses three heartbeats of a server after its
	 * last one, and up to two seconds more after an outage of the store. */
	KEEP_US = 30 * US_PER_S,
	/* A server that has ended refuses connections at once, so later tries
	 * to connect find out nothing new. */
	BROKEN_LATELY_US = 5 * US_PER_S,
};

void
unfinished_add(struct unfinished *unfinished, const struct unfinished_run *run)
{
	unfinished->runs[unfinished->next++ % UNFINISHED_MAX] = *run;
}

size_t
unfinished_server_alive(struct unfinished *unfinished,
    const struct server_start *start, int64_t since_us)
{
	size_t dropped = 0;

	for (size_t i = 0; i < UNFINISHED_MAX; i++) {
		struct unfinished_run *run = &unfinished->runs[i];

		if (run->fingerprint != 0 &&
		    run->start.server == start->server &&
		    run->start.started_wall_ms == start->started_wall_ms &&
		    run->ran_until_us <= since_us) {
			run->fingerprint = 0;
			dropped++;
		}
	}
	return dropped;
}

static int
compare_ends(const void *a, const void *b)
{
	const struct unfinished_run *first = a;
	const struct unfinished_run *second = b;

	return (first->ended_us > second->ended_us) -
	    (first->ended_us < second->ended_us);
}

size_t
unfinished_server_ended(struct unfinished *unfinished,
    const struct server_start *start, int64_t now_us,
    struct unfinished_run *runs, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < UNFINISHED_MAX && count < max; i++) {
		struct unfinished_run *run = &unfinished->runs[i];

		if (run->fingerprint == 0 ||
		    run->start.server != start->server ||
		    run->start.started_wall_ms > start->started_wall_ms)
			continue;
		if (now_us - run->ended_us <= KEEP_US)
			runs[count++] = *run;
		run->fingerprint = 0;
	}
	qsort(runs, count, sizeof(*runs), compare_ends);
	return count;
}

const struct server_start *
unfinished_next_broken(
    const struct unfinished *unfinished, int64_t now_us, size_t *cursor)
{
	while (*cursor < UNFINISHED_MAX) {
		const struct unfinished_run *run =
		    &unfinished->runs[(*cursor)++];

		if (run->fingerprint != 0 && run->broken &&
		    now_us - run->ended_us <= BROKEN_LATELY_US)
			return &run->start;
	}
	return NULL;
}
