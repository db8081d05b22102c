#include <float.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "dispatch/backends.h"

enum {
	AVOID_FIRST_US = 250 * US_PER_MS, /* after a failure to connect */
	AVOID_MAX_US = 2 * US_PER_S,
	DOMAIN_US = 3 * US_PER_MS,  /* there and back between domains */
	REGION_US = 16 * US_PER_MS, /* there and back between regions */
	DEFAULT_TOKEN_US = 1000,    /* while no answer was seen */
	DEFAULT_ANSWER_US = 20 * US_PER_MS,
};

/* Weight of the newest sample in a moving average. */
static const double AVERAGE_WEIGHT = 0.2;
/* Price of a link between regions, which is billed, as a time. */
static const double REGION_PRICE_US = 30.0 * US_PER_MS;
/* What a server gains by a prompt that it has cached, as a time. */
static const double CACHE_GAIN_US = 15.0 * US_PER_MS;

void
backends_init(struct backends *backends, const char *region,
    const char *failure_domain, uint64_t seed)
{
	*backends = (struct backends){0};
	snprintf(backends->region, sizeof(backends->region), "%s", region);
	snprintf(backends->failure_domain, sizeof(backends->failure_domain),
	    "%s", failure_domain);
	rng_init(&backends->rng, seed);
}

static void
backend_forget(struct backends *backends, struct backend *backend)
{
	HASH_DEL(backends->by_id, backend);
	free(backend);
}

void
backends_reset(struct backends *backends)
{
	struct backend *backend, *next;

	HASH_ITER (hh, backends->by_id, backend, next)
		backend_forget(backends, backend);
}

struct backend *
backends_find(const struct backends *backends, const char *id)
{
	struct backend *backend;

	HASH_FIND_STR(backends->by_id, id, backend);
	return backend;
}

/* A server that starts again under its id knows nothing of before. */
static void
backend_begin_life(struct backend *backend)
{
	backend->avoid_until_us = 0;
	backend->failures = 0;
	backend->token_us = 0;
	backend->answer_us = 0;
}

bool
backends_update(struct backends *backends, const struct backend_entry *entry,
    const char *region)
{
	struct backend *backend = backends_find(backends, entry->id);
	bool listed = !entry->draining;
	bool changed;

	if (backend == NULL) {
		backend = xcalloc(1, sizeof(*backend));
		memcpy(backend->entry.id, entry->id, sizeof(entry->id));
		HASH_ADD_STR(backends->by_id, entry.id, backend);
	}
	changed = backend->listed != listed ||
	    strcmp(backend->entry.address, entry->address) != 0 ||
	    strcmp(backend->entry.service, entry->service) != 0 ||
	    backend->entry.born_wall_ms != entry->born_wall_ms;
	if (backend->entry.born_wall_ms != entry->born_wall_ms)
		backend_begin_life(backend);
	backend->entry = *entry;
	backend->listed = listed;
	snprintf(backend->region, sizeof(backend->region), "%s", region);
	return changed;
}

bool
backends_remove(struct backends *backends, const char *id)
{
	struct backend *backend = backends_find(backends, id);
	bool listed;

	if (backend == NULL)
		return false;
	listed = backend->listed;
	backend->listed = false;
	if (backend->running == 0)
		backend_forget(backends, backend);
	return listed;
}

static bool
was_tried(const struct backend_request *request, const struct backend *backend)
{
	for (size_t i = 0; i < request->tried_count; i++) {
		if (strcmp(request->tried[i], backend->entry.id) == 0)
			return true;
	}
	return false;
}

static bool
may_run(const struct backend *backend, const char *service)
{
	return backend->listed && strcmp(backend->entry.service, service) == 0;
}

bool
backends_serve(const struct backends *backends, const char *service)
{
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (may_run(backend, service))
			return true;
	}
	return false;
}

static double
distance_us(const struct backends *backends, const struct backend *backend)
{
	if (strcmp(backend->region, backends->region) != 0)
		return REGION_US + REGION_PRICE_US;
	if (strcmp(backend->entry.failure_domain, backends->failure_domain) !=
	    0)
		return DOMAIN_US;
	return 0;
}

/* Time of the request's own work on a server that runs nothing else. */
static double
work_us(const struct backend *backend, const struct backend_request *request)
{
	double token_us =
	    backend->token_us > 0 ? backend->token_us : DEFAULT_TOKEN_US;

	if (request->streams)
		return token_us * (double)request->max_tokens / 2;
	return backend->answer_us > 0 ? backend->answer_us : DEFAULT_ANSWER_US;
}

/* Requests beyond the server's slots wait for those before them. */
static double
cost_us(const struct backends *backends, const struct backend *backend,
    const struct backend_request *request)
{
	double load = backend->running + backend->remote;
	double slots = backend->entry.slots;
	double work = work_us(backend, request);
	double cost =
	    distance_us(backends, backend) + work * (1 + load / slots);

	if (load >= slots)
		cost += work * (load - slots + 1) / slots;
	if (strcmp(request->preferred, backend->entry.id) == 0)
		cost -= CACHE_GAIN_US;
	return cost;
}

struct backend *
backends_choose(struct backends *backends,
    const struct backend_request *request, int64_t now_us)
{
	struct backend *best = NULL;
	double best_us = DBL_MAX;
	bool best_avoided = true;

	for (struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		bool avoided = backend->avoid_until_us > now_us;
		double us;

		if (!may_run(backend, request->service) ||
		    was_tried(request, backend) || (avoided && !best_avoided))
			continue;
		us = cost_us(backends, backend, request) +
		    rng_real(&backends->rng);
		if (us < best_us || (best_avoided && !avoided)) {
			best = backend;
			best_us = us;
			best_avoided = avoided;
		}
	}
	return best;
}

void
backend_started(struct backend *backend)
{
	backend->running++;
}

void
backend_ended(struct backends *backends, struct backend *backend)
{
	backend->running--;
	if (backend->running == 0 && !backend->listed &&
	    !backend->entry.draining)
		backend_forget(backends, backend);
}

void
backend_failed(struct backend *backend, int64_t now_us)
{
	int64_t avoid_us = AVOID_FIRST_US;

	for (uint32_t i = 0; i < backend->failures && avoid_us < AVOID_MAX_US;
	     i++)
		avoid_us *= 2;
	backend->failures++;
	backend->avoid_until_us = now_us + avoid_us;
}

static double
average(double old, double sample)
{
	if (old <= 0)
		return sample;
	return old + AVERAGE_WEIGHT * (sample - old);
}

void
backend_answered(struct backend *backend, int64_t elapsed_us, uint64_t tokens)
{
	backend->failures = 0;
	backend->avoid_until_us = 0;
	if (tokens > 0)
		backend->token_us = average(
		    backend->token_us, (double)elapsed_us / (double)tokens);
	else
		backend->answer_us =
		    average(backend->answer_us, (double)elapsed_us);
}
